// Package measurer measures what the parts of a daemon cost at several sizes,
// for docs/CAPACITY.md. It holds benchmarks only.
//
// Beside the elapsed time, most report the processor time of the whole process
// (cpu-us/op), which a busy machine distorts less. Where an exchange has two
// ends, both run in the process, so that the figure is what one daemon spends
// on asking once and on being asked once.
package measurer
