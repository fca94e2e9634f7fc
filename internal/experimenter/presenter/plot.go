// Plots of a result: success and latency by second, and the times of actions on
// the fleet.

package presenter

import (
	"encoding/xml"
	"fmt"
	"io"
	"strings"

	"github.com/coltsfootflow/coltsfootflow/internal/experimenter/assessor"
)

// Dimensions of the plot in pixels.
const (
	plotWidth  = 800
	plotHeight = 160 // of one panel
	plotMargin = 50
	plotTop    = 30
)

// panel is one curve over the seconds of the measured time.
type panel struct {
	title string
	top   int
	max   float64 // value at the upper edge
	value func(assessor.Window) float64
}

// WritePlot writes the result as an SVG image. It returns the error of w.
func (r *Result) WritePlot(w io.Writer) error {
	slowest := 1.0
	for _, window := range r.Windows {
		slowest = max(slowest, window.P99Millis)
	}
	panels := []panel{
		{"success share", plotTop, 1, assessor.Window.Share},
		{"p99 ms", plotTop + plotHeight + plotMargin, slowest, func(w assessor.Window) float64 { return w.P99Millis }},
	}
	height := plotTop + 2*(plotHeight+plotMargin)
	var svg strings.Builder
	fmt.Fprintf(&svg, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		plotWidth+2*plotMargin, height)
	fmt.Fprintf(&svg, `<rect width="100%%" height="100%%" fill="white"/><text x="%d" y="16">%s, seed %d</text>`+"\n",
		plotMargin, escape(r.Experiment), r.Seed)
	for _, p := range panels {
		r.drawPanel(&svg, p)
	}
	r.drawActions(&svg, height)
	svg.WriteString("</svg>\n")
	_, err := io.WriteString(w, svg.String())
	return err
}

// xAt returns the horizontal position of a second of the measured time.
func (r *Result) xAt(second float64) float64 { return plotMargin + plotWidth*second/max(r.Seconds, 1) }

func (r *Result) drawPanel(w io.Writer, p panel) {
	bottom := p.top + plotHeight
	fmt.Fprintf(w, `<rect x="%d" y="%d" width="%d" height="%d" fill="none" stroke="#999"/>`+"\n", plotMargin, p.top, plotWidth, plotHeight)
	fmt.Fprintf(w, `<text x="%d" y="%d">%s</text><text x="4" y="%d">%s</text><text x="4" y="%d">0</text>`+"\n",
		plotMargin+4, p.top+14, p.title, p.top+10, formatNumber(p.max), bottom)
	points := make([]string, 0, len(r.Windows))
	for i, window := range r.Windows {
		y := float64(bottom) - plotHeight*p.value(window)/p.max
		points = append(points, fmt.Sprintf("%.1f,%.1f %.1f,%.1f", r.xAt(float64(i)), y, r.xAt(float64(i+1)), y))
	}
	fmt.Fprintf(w, `<polyline fill="none" stroke="#06c" points="%s"/>`+"\n", strings.Join(points, " "))
}

func (r *Result) drawActions(w io.Writer, height int) {
	for _, event := range r.Events {
		if event.What != EventAction {
			continue
		}
		x := r.xAt(float64(event.AtMillis) / 1000)
		fmt.Fprintf(w, `<line x1="%.1f" y1="%d" x2="%.1f" y2="%d" stroke="#c30" stroke-dasharray="3 3"><title>%s</title></line>`+"\n",
			x, plotTop, x, height-plotMargin, escape(event.Detail))
		fmt.Fprintf(w, `<text x="%.1f" y="%d" fill="#c30">%s</text>`+"\n", x+2, plotTop+plotHeight+14, escape(event.Detail))
	}
}

func escape(text string) string {
	var escaped strings.Builder
	_ = xml.EscapeText(&escaped, []byte(text)) // a strings.Builder never returns an error
	return escaped.String()
}
