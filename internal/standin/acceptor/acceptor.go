// Package acceptor holds what the HTTP servers of the stand-ins have in common: a
// server that ends with a context, and helpers for administration requests and
// responses. It does not admit requests, as package internal/request/acceptor does in
// a daemon.
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

// LoopbackAddress stands for any free port on loopback.
const LoopbackAddress = "127.0.0.1:0"

// maxFlagBytes bounds the parameters of one administration request.
const maxFlagBytes = 1 << 20

// Options of an Acceptor. Wrap and ConnContext may be nil.
type Options struct {
	Address     string // ip:port; empty for LoopbackAddress
	Handler     http.Handler
	Wrap        func(net.Listener) net.Listener                          // replaces the listener
	ConnContext func(ctx context.Context, conn net.Conn) context.Context // as of http.Server
}

// Acceptor is a running HTTP server.
type Acceptor struct {
	address string
	done    chan struct{}
}

// Serve starts a server that ends with ctx. Its end is abrupt: it closes all
// connections and cancels the contexts of requests in flight. Serve returns an
// error if the address can't be listened on.
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
	server.Serve(listener) // returns http.ErrServerClosed once the server is closed
}

// Addr returns the ip:port that the server listens on.
func (a *Acceptor) Addr() string { return a.address }

// Wait returns once the server has stopped listening, so that its address is free.
func (a *Acceptor) Wait() { <-a.done }

// ReadFlags sets the flags that register adds from the query and the form of a
// request, so that administration requests accept the same names and values as the
// command line. It returns an error if a parameter is unknown or invalid.
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

// WriteJSON responds with a value as JSON.
func WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value) // fails only if the client has gone
}

// WriteError responds with 400 and the text of err, or with 204 if err is nil.
func WriteError(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
