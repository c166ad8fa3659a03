// Package platform provides the stand-in for the platform's services: the table,
// the object store and the live list, with rate limits and counters.
//
// In addition to the routes of core/table it serves GET /count, which returns
// Counts.
package platform
