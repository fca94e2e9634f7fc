// Package measurer measures what the parts of a daemon cost at several sizes,
// for docs/CAPACITY.md. The command "standin measure" runs it.
//
// Table has one row for each measurement: its name, its help, its sizes and the
// function that measures. A trial is one run of a measurement at one size; it
// does its operation some times over, after the measurement's own warm-up. Each
// figure is the median of what all trials reported.
//
// Beside the elapsed time, each trial reports the processor time of the whole
// process for one operation, which a busy machine distorts less. Where an
// exchange has two ends, both run in the process, so that the figure is what
// one daemon spends on asking once and on being asked once. The processor time
// of daemons that a measurement starts is in figures of their own.
package measurer
