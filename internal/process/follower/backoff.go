package follower

import "time"

const (
	// minBackoff and maxBackoff bound the time between two calls to a platform that does
	// not answer, because these are not free.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 1800 * time.Millisecond
	// maxBackoffDoublings is how often maxBackoff doubles for hosts of lower ranks.
	maxBackoffDoublings = 5
)

// backoff is the time between calls to a platform that does not answer. It doubles with
// each call, up to maxBackoff at the first reader of a zone. It becomes longer at hosts that
// rank below, so that the calls of a zone do not grow with its hosts.
type backoff time.Duration

// next returns the time until the next call. Jitter is between 0 and 1.
func (b *backoff) next(rank int, jitter float64) time.Duration {
	shift := min(rank, maxBackoffDoublings)
	*b = backoff(min(max(2*time.Duration(*b), minBackoff<<shift), maxBackoff<<shift))
	return time.Duration(float64(*b) * (0.75 + jitter/2))
}
