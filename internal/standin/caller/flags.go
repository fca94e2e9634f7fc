// The command-line flags of a caller.

package caller

import (
	"flag"
	"fmt"
	"io"
	"strings"
)

// RegisterFlags adds the options' flags to a flag set. Journal has none.
func (o *Options) RegisterFlags(flags *flag.FlagSet) {
	o.Customers, o.Ingresses = nil, nil
	flags.Var((*customerFlag)(&o.Customers), "customer", "a customer, like name=NAME,key=KEY,rate=20; may be repeated")
	flags.Var((*ingressFlag)(&o.Ingresses), "ingress", "ip:port to ask, or several with commas; may be repeated")
	flags.DurationVar(&o.Duration, "duration", DefaultDuration, "time for which requests start")
	flags.DurationVar(&o.Timeout, "timeout", DefaultTimeout, "time that a request may take from its sending")
	flags.DurationVar(&o.WanderPeriod, "wander-period", DefaultWanderPeriod, "time that a wandering customer stays with an address")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of all that is random")
	flags.BoolVar(&o.GoRound, "go-round", false, "ask the next address when one is stopping, out of service, without lease or unreachable")
	flags.BoolVar(&o.FreshConnections, "fresh-connections", false, "open a connection for each request")
	flags.IntVar(&o.MaxInFlight, "max-in-flight", DefaultMaxInFlight, "requests under way above which none is sent")
}

// CustomerHelp describes the settings of one customer flag.
func CustomerHelp() string {
	var text strings.Builder
	newCustomerFlags(&Customer{}).VisitAll(func(f *flag.Flag) {
		fmt.Fprintf(&text, "  %s=%s: %s\n", f.Name, f.DefValue, f.Usage)
	})
	return text.String()
}

// newCustomerFlags returns a flag set that sets one customer.
func newCustomerFlags(c *Customer) *flag.FlagSet {
	flags := flag.NewFlagSet("customer", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.StringVar(&c.Name, "name", "", "name of the customer")
	flags.StringVar(&c.Key, "key", "", "key of the customer")
	flags.StringVar((*string)(&c.Choice), "choice", string(Sticky), "sticky, spread or wandering")
	flags.StringVar(&c.ReadPath, "read-path", "/", "path of reads")
	flags.StringVar(&c.WritePath, "write-path", "/", "path of writes")
	flags.Float64Var(&c.Writes, "writes", 0, "share of writes")
	flags.BoolVar(&c.IdempotencyKeys, "idempotency-keys", false, "whether writes carry idempotency keys")
	flags.IntVar(&c.SizeBytes, "size", 0, "padding of answers in bytes")
	flags.Float64Var(&c.Schedule.Rate, "rate", 1, "requests a second")
	flags.StringVar((*string)(&c.Schedule.Shape), "shape", string(Constant), "constant, bursty or step")
	flags.Float64Var(&c.Schedule.Times, "times", 1, "times the rate, in a burst or after a step")
	flags.DurationVar(&c.Schedule.Start, "start", 0, "time of the step")
	flags.DurationVar(&c.Schedule.Length, "length", 0, "length of a burst or a step; 0 for a step without end")
	flags.DurationVar(&c.Schedule.Period, "period", 0, "time from burst to burst")
	return flags
}

// -----------------------------------------------------------------------------

// customerFlag is a flag that may be given many times, each with settings like
// name=NAME,rate=20.
type customerFlag []Customer

// String returns the names of the customers.
func (f *customerFlag) String() string {
	names := make([]string, 0, len(*f))
	for _, customer := range *f {
		names = append(names, customer.Name)
	}
	return strings.Join(names, " ")
}

// Set adds a customer.
func (f *customerFlag) Set(text string) error {
	var customer Customer
	flags := newCustomerFlags(&customer)
	for setting := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(setting, "=")
		if err := flags.Set(name, value); err != nil {
			return fmt.Errorf("%q: %w", setting, err)
		}
	}
	*f = append(*f, customer)
	return customer.check()
}

// ingressFlag is a flag that may be given many times, each with one address or
// several.
type ingressFlag []string

// String returns the addresses.
func (f *ingressFlag) String() string { return strings.Join(*f, ",") }

// Set adds addresses.
func (f *ingressFlag) Set(text string) error {
	*f = append(*f, strings.Split(text, ",")...)
	return nil
}
