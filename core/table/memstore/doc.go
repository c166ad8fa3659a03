// Package memstore provides an in-memory store of rows for tests.
package memstore
