// Package spill decides whether a request that the own data centre cannot serve
// is forwarded to another one.
//
// An instance whose requests find no capacity asks instances of other centres
// how many requests they could accept, and receives a Report from each. A
// request is forwarded only if the own targets are unavailable or the wait for
// them is too long, only to a centre that recently reported capacity, and only
// once: a request that came from another centre stays. Each forwarded request
// uses up a part of the reported capacity, so that a burst is not forwarded as
// a whole. No messages are sent while the own centre serves all requests. Each
// request is decided by itself, so requests stay in the own centre again as
// soon as it has capacity.
package spill
