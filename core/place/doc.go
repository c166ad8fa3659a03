// Package place provides the placement of tasks on workers.
//
// Workers start every task that they receive, so a Placer has to know what fits.
// The free capacity of a worker is its usable capacity, less the needs of the
// tasks of this instance, less the use by others as shown by reports, averaged
// over a time longer than the lag of the reports. Package demand estimates the
// needs of tasks.
//
// Running tasks share cores but not memory. While the workers as a whole are not
// full, the cores of a worker may be overcommitted: the information about a
// worker lags, and tasks that run a little slower for a moment lose less than
// tasks that wait although there is capacity. Memory is never overcommitted.
//
// Several instances share the workers without coordination. Each may always use
// its part of a worker's cores.
//
// Among several workers with free capacity the Placer prefers those with the
// lowest utilization, that are not slow and whose rack has few tasks of the same
// job.
//
// A worker that fails tasks of kinds that succeed elsewhere is quarantined, then
// probed with one task at a time. Failures of a kind that fails everywhere are
// not recorded for the workers. The number of workers in quarantine is limited to
// a part of all, so that it never empties the fleet.
package place
