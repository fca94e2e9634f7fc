// Quantiles of latencies.

package assessor

import (
	"slices"
	"time"
)

// Quantiles holds exact quantiles of latencies, in milliseconds.
type Quantiles struct {
	Count      int     `json:"count"`
	P50Millis  float64 `json:"p50-millis"`
	P99Millis  float64 `json:"p99-millis"`
	P999Millis float64 `json:"p999-millis"`
	MaxMillis  float64 `json:"max-millis"`
}

// QuantilesOf returns the quantiles of latencies, or zeros without latencies.
// It sorts latencies.
func QuantilesOf(latencies []time.Duration) Quantiles {
	slices.Sort(latencies)
	at := func(share float64) float64 {
		if len(latencies) == 0 {
			return 0
		}
		index := min(int(share*float64(len(latencies))), len(latencies)-1)
		return float64(latencies[index]) / float64(time.Millisecond)
	}
	return Quantiles{Count: len(latencies), P50Millis: at(0.5), P99Millis: at(0.99), P999Millis: at(0.999), MaxMillis: at(1)}
}
