// The command-line flags of a caller.

package caller

import (
	"flag"
	"fmt"
	"io"
	"strings"
)

// RegisterFlags adds the options' flags to a flag set. Journal has no flag.
func (o *Options) RegisterFlags(flags *flag.FlagSet) {
	o.Customers, o.Ingresses = nil, nil
	flags.Var((*customerFlag)(&o.Customers), "customer", "a customer, like name=NAME,key=KEY,rate=20; may be repeated")
	flags.Var((*ingressFlag)(&o.Ingresses), "ingress", "ip:port to send requests to, or several separated by commas; may be repeated")
	flags.DurationVar(&o.Duration, "duration", DefaultDuration, "time during which requests start")
	flags.DurationVar(&o.Timeout, "timeout", DefaultTimeout, "time limit of a request at one address, from its sending")
	flags.DurationVar(&o.WanderPeriod, "wander-period", DefaultWanderPeriod, "time for which a wandering customer uses an address")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of all random decisions")
	flags.BoolVar(&o.Failover, "go-round", false, "try the next address if one is stopping, in a zone that is out, without a lease or unreachable")
	flags.BoolVar(&o.FreshConnections, "fresh-connections", false, "open a connection for each request")
	flags.IntVar(&o.MaxInFlight, "max-in-flight", DefaultMaxInFlight, "maximum of requests in flight; requests above it are not sent")
}

// CustomerHelp describes the settings in a customer flag, one per line.
func CustomerHelp() string {
	var text strings.Builder
	newCustomerFlags(&Customer{}).VisitAll(func(f *flag.Flag) {
		fmt.Fprintf(&text, "  %s=%s: %s\n", f.Name, f.DefValue, f.Usage)
	})
	return text.String()
}

// newCustomerFlags returns a flag set of the settings of a customer.
func newCustomerFlags(c *Customer) *flag.FlagSet {
	flags := flag.NewFlagSet("customer", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.StringVar(&c.Name, "name", "", "name of the customer")
	flags.StringVar(&c.Key, "key", "", "key of the customer")
	flags.StringVar((*string)(&c.Choice), "choice", string(Sticky), "sticky, spread or wandering")
	flags.StringVar(&c.ReadPath, "read-path", "/", "path of reads")
	flags.StringVar(&c.WritePath, "write-path", "/", "path of writes")
	flags.Float64Var(&c.Writes, "writes", 0, "share of requests that are writes")
	flags.BoolVar(&c.IdempotencyKeys, "idempotency-keys", false, "whether writes have idempotency keys")
	flags.IntVar(&c.SizeBytes, "size", 0, "padding of responses in bytes")
	flags.Float64Var(&c.Schedule.Rate, "rate", 1, "requests per second")
	flags.StringVar((*string)(&c.Schedule.Shape), "shape", string(Constant), "constant, bursty or step")
	flags.Float64Var(&c.Schedule.Factor, "times", 1, "multiple of the rate, in a burst or after a step")
	flags.DurationVar(&c.Schedule.Start, "start", 0, "time of the step")
	flags.DurationVar(&c.Schedule.Length, "length", 0, "duration of a burst or a step; 0 for a step without end")
	flags.DurationVar(&c.Schedule.Period, "period", 0, "time from the start of one burst to the next")
	return flags
}

// customerFlag is a repeatable flag; each value holds settings of one customer, like
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

// Set adds a customer. It returns an error if a setting is unknown or invalid.
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

// ingressFlag is a repeatable flag; each value holds one or more addresses,
// separated by commas.
type ingressFlag []string

// String returns the addresses.
func (f *ingressFlag) String() string { return strings.Join(*f, ",") }

// Set adds the addresses of a value.
func (f *ingressFlag) Set(text string) error {
	*f = append(*f, strings.Split(text, ",")...)
	return nil
}
