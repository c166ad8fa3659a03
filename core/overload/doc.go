// Package overload tells whether the machine of a holder is too slow for its cell, so that
// another one should hold it.
//
// The load is a machine that turns several times slower while the cell is busy. Its loop still
// runs nearly in time, but each order and each reply waits for the processor, so that jobs end
// late although runners are idle.
package overload
