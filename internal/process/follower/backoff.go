package follower

import "time"

const (
	// minBackoff and maxBackoff bound the time between two calls to a platform that does
	// not answer, because these are not free.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxBackoffDoublings is how often maxBackoff doubles for hosts of lower ranks.
	maxBackoffDoublings = 4
)

// backoff is the time between calls to a platform that does not answer. It doubles with
// each call, up to maxBackoff at the readers of a zone. It becomes longer at hosts that
// rank below them, so that the calls of a zone do not grow with its hosts.
type backoff time.Duration

// next returns the time until the next call. Jitter is between 0 and 1.
func (b *backoff) next(rank int, jitter float64) time.Duration {
	longest := maxBackoff << min(max(rank-maxReaders+1, 0), maxBackoffDoublings)
	*b = backoff(min(max(2*time.Duration(*b), minBackoff), longest))
	return time.Duration(float64(*b) * (0.75 + jitter/2))
}
