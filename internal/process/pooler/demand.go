// The estimate of how many requests one customer sends to this ingress.

package pooler

import (
	"math"
	"time"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// demand is an exponentially decaying count of requests.
type demand struct {
	weight float64
	at     flow.Time
}

func (d *demand) add(now flow.Time, averaging time.Duration) {
	d.weight = d.decayed(now, averaging) + 1
	d.at = max(d.at, now)
}

func (d *demand) decayed(now flow.Time, averaging time.Duration) float64 {
	if d.weight == 0 || !d.at.Before(now) {
		return d.weight
	}
	return d.weight * math.Exp(-float64(now.Sub(d.at))/float64(averaging))
}

// during returns the number of requests expected within span.
func (d *demand) during(now flow.Time, span, averaging time.Duration) float64 {
	return d.decayed(now, averaging) * float64(span) / float64(averaging)
}
