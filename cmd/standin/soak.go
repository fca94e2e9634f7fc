// The command that runs soak tests on a deployment of real sidecars.

package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/commander"
	"github.com/coltsfootflow/coltsfootflow/internal/soaker"
)

func soakCommand() commander.Command {
	options := soaker.Options{}
	var seeds uint64
	return commander.Command{
		Name:    "soak",
		Usage:   "[--seed N] [--seeds N] [--span TIME] [--hosts N] [--program FILE] [--folder DIR]",
		Summary: "injects random faults into a deployment of sidecars and checks its guarantees",
		Help: `
Each seed runs one deployment of real processes on loopback: connections are
delayed, cut, silenced and reset, daemons killed, paused, stopped and started,
the store made unreachable, backend servers made gray, the configuration changed,
all at times drawn from the seed. One line is printed for each seed, and for a
broken guarantee the timeline of all events; the daemons' logs stay in the folder.`,
		Register: func(flags *flag.FlagSet) {
			flags.Uint64Var(&options.Seed, "seed", 1, "first seed")
			flags.Uint64Var(&seeds, "seeds", 1, "number of seeds")
			flags.DurationVar(&options.FaultDuration, "span", 20*time.Second, "time for which faults are injected")
			flags.IntVar(&options.Hosts, "hosts", 6, "number of hosts")
			flags.StringVar(&options.Program, "program", "bin/coltsfootflow", "the program under test")
			flags.StringVar(&options.Folder, "folder", "", "for settings and logs; a temporary one by default")
		},
		Run: func(ctx context.Context, streams commander.Streams, _ []string) error {
			return runSeeds(ctx, streams, options, seeds)
		},
	}
}

func runSeeds(ctx context.Context, streams commander.Streams, options soaker.Options, seeds uint64) error {
	root := options.Folder
	if root == "" {
		var err error
		if root, err = os.MkdirTemp("", "coltsfootflow-soak-"); err != nil {
			return err
		}
	}
	broken := 0
	for seed := options.Seed; seed < options.Seed+seeds; seed++ {
		seedOptions := options
		seedOptions.Seed = seed
		seedOptions.Folder = filepath.Join(root, fmt.Sprintf("seed-%d", seed))
		if err := os.MkdirAll(seedOptions.Folder, 0o755); err != nil {
			return err
		}
		result, err := soaker.Run(ctx, seedOptions)
		if err != nil {
			return err
		}
		fmt.Fprintf(streams.Out, "seed %d: %d requests, %d runs, answers %v, broken %d\n",
			seed, result.Requests, result.Runs, result.Statuses, len(result.Violations))
		if len(result.Violations) == 0 {
			continue
		}
		broken++
		for _, violation := range result.Violations {
			fmt.Fprintln(streams.Out, "  broken", violation)
		}
		for _, line := range result.Timeline {
			fmt.Fprintln(streams.Out, "  timeline", line)
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d of %d seeds broke a guarantee; logs are in %s", broken, seeds, root)
	}
	return nil
}
