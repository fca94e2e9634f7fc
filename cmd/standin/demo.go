// The command that demonstrates a small fleet on one machine.

package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/commander"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/validator"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/launcher"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	demoHosts = 3
	// demoLeaseTimeout is shorter than the default, because the owners of rates wait
	// for one lease timeout after their start.
	demoLeaseTimeout = time.Second
	// demoStartTimeout bounds the start of the fleet.
	demoStartTimeout = 20 * time.Second
	// demoRequestTimeout bounds one request with its retries.
	demoRequestTimeout = 15 * time.Second
	// demoRetryInterval is the time between retries.
	demoRetryInterval = 250 * time.Millisecond
)

func demoCommand() commander.Command {
	var program string
	return commander.Command{
		Name:    "demo",
		Usage:   "[--program FILE]",
		Summary: "starts a small fleet on loopback and serves requests through it",
		Help: `
Starts a platform, three backend servers and three daemons, sends a few
requests, shows the status of the daemons, and runs on until it is interrupted.`,
		Register: func(flags *flag.FlagSet) {
			flags.StringVar(&program, "program", "", "the coltsfootflow program; by default the one beside this program")
		},
		Run: func(ctx context.Context, streams commander.Streams, _ []string) error {
			if program == "" {
				program = siblingProgram("coltsfootflow")
			}
			return runDemo(ctx, streams, program)
		},
	}
}

// siblingProgram returns the path of a program in the folder of the running one, or
// the bare name if that folder is unknown.
func siblingProgram(name string) string {
	executable, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(executable), name)
}

func runDemo(ctx context.Context, streams commander.Streams, program string) error {
	fmt.Fprintf(streams.Out, "starting a platform, %d backend servers and %d daemons on loopback\n", demoHosts, demoHosts)
	plan := launcher.SmallPlan(demoHosts)
	plan.Settings = map[string]any{"lease-timeout": demoLeaseTimeout.String()}
	fleet, err := launcher.Start(ctx, launcher.Options{Program: program, Plan: plan, Log: streams.Err})
	if err != nil {
		return err
	}
	defer fleet.Close()
	startCtx, cancel := context.WithTimeout(ctx, demoStartTimeout)
	defer cancel()
	if err := fleet.AwaitActing(startCtx); err != nil {
		return err
	}
	if err := demonstrateRequests(ctx, streams.Out, fleet); err != nil {
		return err
	}
	for _, d := range fleet.Daemons {
		if err := showDaemon(ctx, streams.Out, d); err != nil {
			return err
		}
	}
	fmt.Fprintf(streams.Out, "\ntry: curl -i -H 'Authorization: Bearer %s' http://%s/ledger/wheels\nCtrl-C stops everything\n",
		launcher.KeyOf("shop"), fleet.Daemons[0].Addresses.Caller)
	<-ctx.Done()
	fmt.Fprintln(streams.Out, "\nstopping")
	return stopAll(fleet)
}

// demonstrateRequests sends a read, a write, and a request without a key.
func demonstrateRequests(ctx context.Context, out io.Writer, fleet *launcher.Fleet) error {
	rows := []struct{ method, path, key string }{
		{http.MethodGet, "/ledger/wheels/17", launcher.KeyOf("shop")},
		{http.MethodPost, "/ledger/swaps", launcher.KeyOf("shop")},
		{http.MethodGet, "/ledger/wheels/17", ""},
	}
	for i, row := range rows {
		address := fleet.Daemons[i%len(fleet.Daemons)].Addresses.Caller
		line, err := requestUntilServed(ctx, row.method, "http://"+address+row.path, row.key)
		if err != nil {
			return flow.Wrap("demo", address, err)
		}
		fmt.Fprintf(out, "\n%s %s at %s\n  %s\n", row.method, row.path, address, line)
	}
	return nil
}

// requestUntilServed retries a request that the starting fleet refuses with status
// 503: the owners of rates wait until every grant of an earlier owner has expired.
func requestUntilServed(ctx context.Context, method, url, key string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, demoRequestTimeout)
	defer cancel()
	for {
		status, line, err := sendRequest(ctx, method, url, key)
		if err != nil || status != http.StatusServiceUnavailable {
			return line, err
		}
		select {
		case <-time.After(demoRetryInterval):
		case <-ctx.Done():
			return line, nil
		}
	}
}

func sendRequest(ctx context.Context, method, url, key string) (status int, line string, err error) {
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return 0, "", err
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	request.Close = true
	response, err := validator.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", err
	}
	return response.StatusCode, response.Status + ": " + strings.TrimSpace(strings.ReplaceAll(string(body), "\n", " ")), nil
}

func showDaemon(ctx context.Context, out io.Writer, d *launcher.Daemon) error {
	status, err := d.Status(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "\n%s in %s: %s, proof %d ms old, revision %d, %d of %d hosts alive\n",
		status.Host, status.Zone, status.Lease.Reason, status.Lease.ProofAgeMs, status.Revision.Applied, status.Lease.HostsAlive, status.Lease.Hosts)
	for _, server := range status.Servers {
		fmt.Fprintf(out, "  %s: %s, limit %d\n", server.Name, server.State, server.Limit)
	}
	return nil
}

// stopAll stops all daemons concurrently, each after its running requests. It
// returns the first error.
func stopAll(fleet *launcher.Fleet) error {
	failures := make(chan error, len(fleet.Daemons))
	for _, d := range fleet.Daemons {
		go func() { failures <- d.Stop() }()
	}
	var first error
	for range fleet.Daemons {
		if err := <-failures; err != nil && first == nil {
			first = err
		}
	}
	return first
}
