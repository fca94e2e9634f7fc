package main

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootflow/coltsfootflow/internal/commander"
)

// cancelingWriter cancels a context once a whole line was written to it.
type cancelingWriter struct {
	bytes.Buffer
	cancel context.CancelFunc
}

func (w *cancelingWriter) Write(data []byte) (int, error) {
	n, err := w.Buffer.Write(data)
	if strings.HasSuffix(w.String(), "\n") {
		w.cancel()
	}
	return n, err
}

func TestCommands(t *testing.T) {
	cases := map[string]struct {
		args string
		code int
		out  string
	}{
		"platform serves until its context ends": {args: "platform --records no-such-directory", code: commander.ExitOK, out: "ready address=127.0.0.1:"},
		"backend serves until its context ends":  {args: "backend --cold-start 1s", code: commander.ExitOK, out: "ready address=127.0.0.1:"},
		"fault serves until its context ends":    {args: "fault --link a=,127.0.0.1:9", code: commander.ExitOK, out: " a=127.0.0.1:"},
		"caller ends with a summary":             {args: "caller --ingress 127.0.0.1:9 --duration 10ms --customer name=shop,rate=1000", code: commander.ExitOK, out: "shop"},
		"an unknown mode is refused":             {args: "platform --mode up", code: commander.ExitUsage},
		"an unknown fault is refused":            {args: "backend --fault tired", code: commander.ExitUsage},
		"a missing link is refused":              {args: "fault", code: commander.ExitUsage},
		"a malformed link is refused":            {args: "fault --link a", code: commander.ExitUsage},
		"a malformed customer is refused":        {args: "caller --ingress 127.0.0.1:9 --customer name=shop,rate=fast", code: commander.ExitUsage},
		"a malformed address fails":              {args: "backend --address here", code: commander.ExitFailed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			out := &cancelingWriter{cancel: cancel}
			code := commander.Run(ctx, "standin", commands(), strings.Fields(tc.args), commander.Streams{Out: out, Err: io.Discard})
			is.Equal(code, tc.code)
			is.True(strings.Contains(out.String(), tc.out))
		})
	}
}
