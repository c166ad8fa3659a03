package retry

import "time"

// Rand is a source of random numbers, such as *rand.Rand of math/rand/v2.
type Rand interface {
	// Int64N returns a uniform random number in [0, n).
	Int64N(n int64) int64
}

// maxDoublings prevents an overflow of the bound of the wait.
const maxDoublings = 30

// Backoff returns the wait before the retry with the given number, counted from
// 1; smaller numbers count as 1. The wait is uniform between zero and a bound
// that starts at s.BaseWait and doubles with each attempt up to s.MaxWait
// (full jitter), so that clients that failed together do not retry together.
func Backoff(attempt int, s Settings, rnd Rand) time.Duration {
	s = s.WithDefaults()
	doublings := min(max(attempt-1, 0), maxDoublings)
	bound := min(s.BaseWait.Duration()<<doublings, s.MaxWait.Duration())
	if bound <= 0 {
		bound = s.MaxWait.Duration()
	}
	return time.Duration(rnd.Int64N(int64(bound) + 1))
}
