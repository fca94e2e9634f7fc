// Success and latency by second.

package assessor

import "time"

// windowLength is the length of a window.
const windowLength = time.Second

// targetShare is the success share that each window should reach.
const targetShare = 0.99

// Window holds the measures of one second.
type Window struct {
	Counted   int     `json:"counted"` // requests with their intended start in the window, without excused ones
	Succeeded int     `json:"succeeded"`
	P99Millis float64 `json:"p99-millis"` // of successes
	latencies []time.Duration
}

// Share returns the success share, or 1 for a window without requests.
func (w Window) Share() float64 { return share(w.Succeeded, w.Counted) }

// Windows returns the windows of the measured time, whose length is given. It
// ignores excused requests and requests outside the measured time.
func Windows(requests []Request, length time.Duration) []Window {
	windows := make([]Window, int((length+windowLength-1)/windowLength))
	for _, r := range requests {
		i := int(r.At / windowLength)
		if r.Excused || r.At < 0 || i >= len(windows) {
			continue
		}
		windows[i].Counted++
		if r.Success {
			windows[i].Succeeded++
			windows[i].latencies = append(windows[i].latencies, r.Latency)
		}
	}
	for i := range windows {
		windows[i].P99Millis = QuantilesOf(windows[i].latencies).P99Millis
	}
	return windows
}

// WorstWindow returns the lowest success share of a window and the index of its
// second, or 1 and 0 if every request succeeded.
func WorstWindow(windows []Window) (worst float64, second int) {
	worst = 1
	for i, w := range windows {
		if w.Share() < worst {
			worst, second = w.Share(), i
		}
	}
	return worst, second
}

// SecondsBelowTarget counts the windows with a success share below 99 %.
func SecondsBelowTarget(windows []Window) int {
	count := 0
	for _, w := range windows {
		if w.Share() < targetShare {
			count++
		}
	}
	return count
}
