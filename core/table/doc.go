// Package table defines the messages between entry instances and the platform's
// services: the transactional table, the object store and the directory of live
// members, which is updated with a delay.
//
// The platform speaks JSON over HTTP:
//
//	POST /table/write  Write   -> Written   one transaction, all or nothing
//	POST /table/read   Read    -> Found     rows by key
//	POST /table/scan   Scan    -> Found     rows by prefix, in key order
//	PUT  /object?key=K bytes   -> nothing
//	GET  /object?key=K         -> bytes, or 404
//	GET  /live                 -> LiveList
//
// The response to a write states whether it took effect. A write without a
// response may have taken effect; the caller must read the rows to find out. Among
// the statuses other than 200, only 429 and 503 mean that a write did not take
// effect.
package table
