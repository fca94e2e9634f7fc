// Package interrupter is a TCP proxy that injects network faults. It listens on
// an address for each of its links and forwards connections to the link's target.
// Each direction of a link can be cut, silenced, delayed or truncated at run time.
package interrupter

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/coltsfootflow/coltsfootflow/internal/standin/acceptor"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// LinkOptions describe one link.
type LinkOptions struct {
	Name    string
	Address string // ip:port to listen on; empty for a free loopback port
	Target  string // ip:port to forward to
}

// Options of an Interrupter.
type Options struct {
	Links        []LinkOptions
	AdminAddress string // ip:port for administration; empty for a free loopback port
	Seed         uint64 // of all jitter
}

// Interrupter is a running set of links. It is safe for concurrent use.
type Interrupter struct {
	ctx   context.Context // ends all links, including those added later
	seed  uint64
	admin *acceptor.Acceptor

	mutex sync.Mutex
	links []*Link
}

// New starts an interrupter whose links end with ctx. It returns an error if an
// address can't be listened on or two links have the same name.
func New(ctx context.Context, options Options) (*Interrupter, error) {
	ctx, cancel := context.WithCancel(ctx)
	i := &Interrupter{ctx: ctx, seed: options.Seed}
	if err := i.start(options); err != nil {
		cancel()
		return nil, err
	}
	context.AfterFunc(ctx, cancel)
	return i, nil
}

func (i *Interrupter) start(options Options) error {
	for _, link := range options.Links {
		if _, err := i.Add(link); err != nil {
			return err
		}
	}
	var err error
	i.admin, err = acceptor.Serve(i.ctx, acceptor.Options{Address: options.AdminAddress, Handler: i.adminHandler()})
	return err
}

// Add starts another link. It returns an error if the name is in use or the address
// can't be listened on.
func (i *Interrupter) Add(options LinkOptions) (*Link, error) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.find(options.Name) != nil {
		return nil, flow.Wrap("add-link", options.Name, fmt.Errorf("a link with this name already exists"))
	}
	link, err := newLink(i.ctx, options, i.seed+uint64(len(i.links)))
	if err != nil {
		return nil, err
	}
	i.links = append(i.links, link)
	return link, nil
}

// Link returns the link with a name, or nil.
func (i *Interrupter) Link(name string) *Link {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.find(name)
}

func (i *Interrupter) find(name string) *Link {
	for _, link := range i.links {
		if link.Name() == name {
			return link
		}
	}
	return nil
}

// AdminAddr returns the ip:port for administration.
func (i *Interrupter) AdminAddr() string { return i.admin.Addr() }

// Wait returns once all links and the administration server have ended.
func (i *Interrupter) Wait() {
	i.mutex.Lock()
	links := slices.Clone(i.links)
	i.mutex.Unlock()
	for _, link := range links {
		link.Wait()
	}
	i.admin.Wait()
}

// The paths of administration.
const (
	// PathAdminLinks responds to GET with a list of LinkState.
	PathAdminLinks = "/admin/links"
	// PathAdminFault accepts POST with the parameters "link", "direction" and
	// the flags of a Fault.
	PathAdminFault = "/admin/fault"
	// PathAdminSilence accepts POST with the parameter "link" and silences the
	// connections that are currently open.
	PathAdminSilence = "/admin/silence"
)

func (i *Interrupter) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathAdminLinks, i.serveLinks)
	mux.HandleFunc("POST "+PathAdminFault, i.serveFault)
	mux.HandleFunc("POST "+PathAdminSilence, i.serveSilence)
	return mux
}

func (i *Interrupter) serveLinks(w http.ResponseWriter, _ *http.Request) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	states := make([]LinkState, 0, len(i.links))
	for _, link := range i.links {
		states = append(states, link.State())
	}
	acceptor.WriteJSON(w, states)
}

func (i *Interrupter) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	var name, direction string
	err := acceptor.ReadFlags(w, r, func(flags *flag.FlagSet) {
		flags.StringVar(&name, "link", "", "")
		flags.StringVar(&direction, "direction", string(Both), "")
		fault.RegisterFlags(flags)
	})
	if err == nil {
		err = i.withLink(name, func(link *Link) error { return link.Set(Direction(direction), fault) })
	}
	acceptor.WriteError(w, err)
}

func (i *Interrupter) serveSilence(w http.ResponseWriter, r *http.Request) {
	var name string
	err := acceptor.ReadFlags(w, r, func(flags *flag.FlagSet) { flags.StringVar(&name, "link", "", "") })
	if err == nil {
		err = i.withLink(name, func(link *Link) error {
			link.SilenceOpen()
			return nil
		})
	}
	acceptor.WriteError(w, err)
}

func (i *Interrupter) withLink(name string, do func(link *Link) error) error {
	link := i.Link(name)
	if link == nil {
		return flow.Wrap("find-link", name, fmt.Errorf("no such link"))
	}
	return do(link)
}

// LinkFlag is a repeatable command-line flag of the form NAME=LISTEN,TARGET.
type LinkFlag []LinkOptions

// String returns the links in the form of the flag, separated by spaces.
func (f *LinkFlag) String() string {
	texts := make([]string, 0, len(*f))
	for _, link := range *f {
		texts = append(texts, link.Name+"="+link.Address+","+link.Target)
	}
	return strings.Join(texts, " ")
}

// Set adds a link. It returns an error if the text does not have the form of the
// flag.
func (f *LinkFlag) Set(text string) error {
	name, addresses, hasName := strings.Cut(text, "=")
	listen, target, hasTarget := strings.Cut(addresses, ",")
	if !hasName || !hasTarget {
		return fmt.Errorf("%q does not have the form NAME=LISTEN,TARGET", text)
	}
	*f = append(*f, LinkOptions{Name: name, Address: listen, Target: target})
	return nil
}
