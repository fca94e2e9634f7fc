// Service second by second.

package assessor

import "time"

// windowLength is the length of a window.
const windowLength = time.Second

// wellServed is the success share below which a window counts as badly served.
const wellServed = 0.99

// Window is the service in one second.
type Window struct {
	Counted   int     `json:"counted"` // requests that were to start in it and are not excused
	Succeeded int     `json:"succeeded"`
	P99Millis float64 `json:"p99-millis"` // of successes
	latencies []time.Duration
}

// Share returns the success share; 1 for a window without requests.
func (w Window) Share() float64 { return share(w.Succeeded, w.Counted) }

// Windows returns the windows of the measured time.
func Windows(requests []Request, length time.Duration) []Window {
	windows := make([]Window, int((length+windowLength-1)/windowLength))
	for _, r := range requests {
		i := int(r.At / windowLength)
		if r.Excuse || r.At < 0 || i >= len(windows) {
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

// WorstWindow returns the lowest success share and the second at which it was;
// 1 and 0 when every window is perfect.
func WorstWindow(windows []Window) (worst float64, second int) {
	worst = 1
	for i, w := range windows {
		if w.Share() < worst {
			worst, second = w.Share(), i
		}
	}
	return worst, second
}

// SecondsBadlyServed counts the windows with a success share below 99 %.
func SecondsBadlyServed(windows []Window) int {
	count := 0
	for _, w := range windows {
		if w.Share() < wellServed {
			count++
		}
	}
	return count
}
