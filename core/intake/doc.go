// Package intake decides how much input of clients a process takes: how many connections it keeps,
// and how many bytes it holds for what is being read and decoded.
//
// The load that it addresses are clients that the operators do not control: many that send without
// end, or that stop just short of the end of a request. Their sum must not exceed the memory and the
// descriptors of the process, and must not keep out the calls of others. The package makes decisions
// only; package intakehttp applies them to HTTP connections, and package peer to connections between
// instances.
//
// A connection has a Claim, which covers the memory of the connection itself and of its input. If a
// claim needs more than is left, other claims are evicted for it in this order:
//
//   - for bytes: those that have stalled, or whose clients do not read, the largest first, then those that
//     are larger than the claim would be, the largest first;
//   - for a connection: those whose clients do not read, then idle ones, the longest idle first, then those
//     that have stalled, the longest stalled first, then those with requests sent ahead, then those
//     whose clients wait for long, then those between requests for a moment only, then the largest of
//     those that have been sending for long.
//
// The claim of any other request that has been read completely is never evicted. No share is kept for an
// address, since many callers may be behind one.
package intake
