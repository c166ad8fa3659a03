// Package interference finds out which kinds of tasks slow each other down when they run on
// one runner, from the run times of tasks that have ended.
//
// For each kind, a Model regresses the logarithm of the run time, relative to the expected one,
// on the fractions of the time for which other kinds ran beside it. All deviations are taken
// from the recent mean of the same kind on the same runner. A constant factor of a runner, of a
// kind or of its estimates therefore cancels out, and kinds that are often present together are
// told apart.
//
// A runner that is slow for a time and a job with hard inputs slow down many runs together. The
// evidence is therefore divided into groups by runner and by job, each for a short time, and a
// pair is believed to interfere only if the groups agree.
//
// Evidence decays with time. A pair that is kept apart gives no new evidence, so the belief ends
// after some minutes and is formed again if it is still true.
package interference
