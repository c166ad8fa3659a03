// Package daytime provides the time of day as it was before a jump. The time of day of
// a machine may jump by seconds and back again, while its steady clock does not.
package daytime
