// Package measurer measures the costs of a daemon's parts at several sizes, for
// docs/CAPACITY.md. The command "standin measure" runs it.
//
// Measurements returns one row for each measurement: its name, its help, its sizes
// and the function that measures. A trial is one run of a measurement at one size;
// it repeats the operation after the measurement's own warm-up. Each figure is the
// median of the values that all trials reported.
//
// Besides the elapsed time, each trial reports the processor time of the whole
// process for one operation, which other load on the machine distorts less. Both
// ends of an exchange run in the process, so the figure is the cost of one request
// to a peer plus one from a peer. The processor time of daemons that a measurement
// starts is reported in separate figures.
package measurer
