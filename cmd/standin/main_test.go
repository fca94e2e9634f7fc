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

// ender ends a context once something is written to it.
type ender struct {
	bytes.Buffer
	end context.CancelFunc
}

func (e *ender) Write(data []byte) (int, error) {
	n, err := e.Buffer.Write(data)
	if strings.HasSuffix(e.String(), "\n") {
		e.end()
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
		"unknown mode":                           {args: "platform --mode up", code: commander.ExitUsage},
		"unknown fault":                          {args: "backend --fault tired", code: commander.ExitUsage},
		"no link":                                {args: "fault", code: commander.ExitUsage},
		"malformed link":                         {args: "fault --link a", code: commander.ExitUsage},
		"malformed customer":                     {args: "caller --ingress 127.0.0.1:9 --customer name=shop,rate=fast", code: commander.ExitUsage},
		"address in the wrong form":              {args: "backend --address here", code: commander.ExitFailed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			out := &ender{end: cancel}
			code := commander.Run(ctx, "standin", table(), strings.Fields(tc.args), commander.Streams{Out: out, Err: io.Discard})
			is.Equal(code, tc.code)
			is.True(strings.Contains(out.String(), tc.out))
		})
	}
}
