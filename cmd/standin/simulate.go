// The command that simulates patterns of load.

package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"

	"github.com/coltsfootflow/coltsfootflow/internal/commander"
	"github.com/coltsfootflow/coltsfootflow/internal/simulator"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

// simulateFlags are the flags of the command simulate.
type simulateFlags struct {
	seed   uint64
	seeds  int
	policy string
	out    string
}

func simulateCommand() commander.Command {
	var flags simulateFlags
	help := "\nEach FILE holds a pattern as JSON with comments; the folder experiments/patterns has some.\n" +
		"The columns are shares of the requests that were neither over a rate nor abandoned by their callers.\n\nPolicies:\n"
	for _, policy := range append(simulator.Policies(), simulator.Searches()...) {
		help += fmt.Sprintf("  %-18s %s\n", policy.Name, policy.Help)
	}
	return commander.Command{
		Name:    "simulate",
		Usage:   "[--seed N] [--seeds N] [--policy NAME] [--out RESULT.json] FILE...",
		Summary: "simulates patterns of load under the daemon's decisions and simpler alternatives",
		Help:    help,
		Register: func(set *flag.FlagSet) {
			set.Uint64Var(&flags.seed, "seed", 1, "first seed")
			set.IntVar(&flags.seeds, "seeds", 3, "number of seeds")
			set.StringVar(&flags.policy, "policy", "", "the only policy to simulate; all by default")
			set.StringVar(&flags.out, "out", "", "file to write the results to as JSON")
		},
		Run: func(ctx context.Context, streams commander.Streams, args []string) error {
			return simulate(ctx, streams, args, flags)
		},
	}
}

func simulate(ctx context.Context, streams commander.Streams, files []string, flags simulateFlags) error {
	policies := slices.DeleteFunc(append(simulator.Policies(), simulator.Searches()...), func(p simulator.Policy) bool { return flags.policy != "" && p.Name != flags.policy })
	switch {
	case len(files) == 0:
		return commander.Usagef("no file with a pattern is named")
	case len(policies) == 0:
		return commander.Usagef("policy %q does not exist", flags.policy)
	case flags.seeds < 1:
		return commander.Usagef("there must be a seed")
	}
	resultsByPattern := map[string][]*simulator.Result{}
	for _, file := range files {
		pattern, err := simulator.Read(file)
		if err != nil {
			return err
		}
		var results []*simulator.Result
		for _, policy := range policies {
			for i := range flags.seeds {
				result, err := simulator.Run(ctx, pattern, policy, flags.seed+uint64(i))
				if err != nil {
					return err
				}
				results = append(results, result)
			}
		}
		fmt.Fprintf(streams.Out, "%s\n", pattern.Name)
		if err := simulator.WriteTable(streams.Out, results); err != nil {
			return err
		}
		resultsByPattern[pattern.Name] = results
	}
	if flags.out == "" {
		return nil
	}
	content, err := json.MarshalIndent(resultsByPattern, "", "\t")
	if err != nil {
		return flow.Wrap("write-results", flags.out, err)
	}
	return flow.Wrap("write-results", flags.out, os.WriteFile(flags.out, content, 0o644))
}
