// The commands that show the status of a daemon and the version.

package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"text/tabwriter"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/commander"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/validator"
	"github.com/coltsfootflow/coltsfootflow/internal/process/controller"
	"github.com/coltsfootflow/coltsfootflow/internal/process/reporter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// statusTimeout bounds the request to one daemon.
const statusTimeout = 5 * time.Second

func statusCommand() commander.Command {
	var asJSON bool
	return commander.Command{
		Name:    "status",
		Usage:   "[--json] IP:PORT ...",
		Summary: "shows the status of daemons",
		Help: `
Fetches the revision, lease, ownership, backend servers and ejections of each
daemon from its operator address.`,
		Register: func(flags *flag.FlagSet) {
			flags.BoolVar(&asJSON, "json", false, "write the status as JSON, a document for each daemon")
		},
		Run: func(ctx context.Context, streams commander.Streams, args []string) error {
			if len(args) == 0 {
				return commander.Usagef("no address is named")
			}
			for _, address := range args {
				if err := showStatus(ctx, streams.Out, address, asJSON); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func showStatus(ctx context.Context, out io.Writer, address string, asJSON bool) error {
	content, err := fetch(ctx, "http://"+address+reporter.PathStatus)
	if err != nil {
		return flow.Wrap("status", address, err)
	}
	if asJSON {
		_, err := out.Write(content)
		return err
	}
	var status controller.Status
	if err := json.Unmarshal(content, &status); err != nil {
		return flow.Wrap("status", address, err)
	}
	return writeStatus(out, status)
}

func fetch(ctx context.Context, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := validator.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the daemon answered %s", response.Status)
	}
	return io.ReadAll(response.Body)
}

func writeStatus(out io.Writer, status controller.Status) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "host\t%s (%s, %s)\n", status.Host, status.Zone, status.Region)
	fmt.Fprintf(table, "lease\t%s, proof %d ms old, %d of %d hosts alive\n",
		status.Lease.Reason, status.Lease.ProofAgeMs, status.Lease.HostsAlive, status.Lease.Hosts)
	fmt.Fprintf(table, "revision\t%d applied, %d highest, %d records\n",
		status.Revision.Applied, status.Revision.Highest, status.Revision.Records)
	for _, fault := range status.Revision.FaultsShown {
		fmt.Fprintf(table, "fault\t%s %s: revision %d is not in force, %d is: %s\n",
			fault.Kind, fault.Name, fault.Revision, fault.InForce, fault.Problem)
	}
	fmt.Fprintf(table, "owned\t%d rate buckets in use, services %v\n", status.Owned.Buckets, status.Owned.Services)
	for _, server := range status.Servers {
		fmt.Fprintf(table, "server\t%s (%s): %s, %d of %d in flight, %d waiting, %d connections, %d ms\n",
			server.Name, server.Service, server.State, server.InFlight, server.Limit, server.Waiting, server.Connections, server.LatencyMs)
	}
	return table.Flush()
}

func versionCommand() commander.Command {
	return commander.Command{
		Name:    "version",
		Summary: "shows the version of the program",
		Help:    "\nShows the version of the program, of Go, and of the revision it was built from.",
		Run: func(_ context.Context, streams commander.Streams, _ []string) error {
			info, ok := debug.ReadBuildInfo()
			if !ok {
				return fmt.Errorf("the program holds no build information")
			}
			fmt.Fprintf(streams.Out, "coltsfootflow %s %s\n", info.Main.Version, info.GoVersion)
			for _, setting := range info.Settings {
				if setting.Key == "vcs.revision" {
					fmt.Fprintf(streams.Out, "revision %s\n", setting.Value)
				}
			}
			return nil
		},
	}
}
