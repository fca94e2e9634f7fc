// Package acceptor holds what the HTTP servers among the stand-ins share:
// serving on an address for as long as a context lasts, and the reading and
// writing of their administration requests.
package acceptor

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"log"
	"net"
	"net/http"

	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// LoopbackAddress is the address of a server that may take any free port.
const LoopbackAddress = "127.0.0.1:0"

// maxFlagBytes bounds the parameters of one administration request.
const maxFlagBytes = 1 << 20

// Options say where and how to serve. Wrap and ConnContext may be nil.
type Options struct {
	Address     string // ip:port; empty for LoopbackAddress
	Handler     http.Handler
	Wrap        func(net.Listener) net.Listener // replaces the listener
	ConnContext func(ctx context.Context, conn net.Conn) context.Context
}

// Acceptor is a running HTTP server.
type Acceptor struct {
	address string
	done    chan struct{}
}

// Serve starts a server that ends with ctx. Its end is abrupt: connections are
// closed and the contexts of the requests in flight are cancelled.
func Serve(ctx context.Context, options Options) (*Acceptor, error) {
	address := options.Address
	if address == "" {
		address = LoopbackAddress
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, flow.Wrap("listen", address, err)
	}
	a := &Acceptor{address: listener.Addr().String(), done: make(chan struct{})}
	if options.Wrap != nil {
		listener = options.Wrap(listener)
	}
	server := &http.Server{
		Handler:     options.Handler,
		ConnContext: options.ConnContext,
		BaseContext: func(net.Listener) context.Context { return ctx },
		ErrorLog:    log.New(io.Discard, "", 0),
	}
	go a.serve(server, listener)
	context.AfterFunc(ctx, func() { server.Close() })
	return a, nil
}

func (a *Acceptor) serve(server *http.Server, listener net.Listener) {
	defer close(a.done)
	server.Serve(listener) // its error is always that the server was closed
}

// Addr returns the ip:port on which the server listens.
func (a *Acceptor) Addr() string { return a.address }

// Wait returns once the server has stopped listening, so that another can
// listen on the same address.
func (a *Acceptor) Wait() { <-a.done }

// -----------------------------------------------------------------------------

// ReadFlags sets the flags that register adds from the query and the form of
// a request. Administration requests so take the same names and values as the
// command line.
func ReadFlags(w http.ResponseWriter, r *http.Request, register func(*flag.FlagSet)) error {
	flags := flag.NewFlagSet(r.URL.Path, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	register(flags)
	r.Body = http.MaxBytesReader(w, r.Body, maxFlagBytes)
	if err := r.ParseForm(); err != nil {
		return flow.Wrap("read-flags", r.RemoteAddr, err)
	}
	for name := range r.Form {
		if err := flags.Set(name, r.Form.Get(name)); err != nil {
			return flow.Wrap("read-flags", name, err)
		}
	}
	return nil
}

// WriteJSON answers with a value as JSON.
func WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value) // the reader has gone when this fails
}

// WriteError answers that the request is bad when err is not nil, and that it
// was done otherwise.
func WriteError(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
