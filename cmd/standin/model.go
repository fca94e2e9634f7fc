// The command that checks the model of lease and ownership for as long as there
// is time.

package main

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/coltsfootflow/coltsfootflow/internal/commander"
	"github.com/coltsfootflow/coltsfootflow/internal/process/modelchecker"
)

func modelCommand() commander.Command {
	var kind, mutation string
	var from uint64
	var count int
	return commander.Command{
		Name:    "model",
		Usage:   "[--kind KIND] [--from SEED] [--schedules N] [--mutation NAME]",
		Summary: "checks random schedules of faults against lease and ownership",
		Help:    modelHelp(),
		Register: func(flags *flag.FlagSet) {
			flags.StringVar(&kind, "kind", "", "kind of schedules; empty for all kinds")
			flags.Uint64Var(&from, "from", 1, "seed of the first schedule of each kind")
			flags.IntVar(&count, "schedules", 1000, "schedules of each kind")
			flags.StringVar(&mutation, "mutation", "", "rule to take away")
		},
		Run: func(ctx context.Context, streams commander.Streams, _ []string) error {
			kinds, err := kindsNamed(kind)
			if err != nil {
				return err
			}
			rule, err := mutationNamed(mutation)
			if err != nil {
				return err
			}
			return checkModel(ctx, streams, kinds, modelchecker.Search{Mutation: rule, From: from, Count: count})
		},
	}
}

func modelHelp() string {
	var text strings.Builder
	text.WriteString("\nThe exit code is 1 when a schedule breaks a promise; the shortest one that was\nfound is shown.\n\nKinds:")
	for _, kind := range modelchecker.Kinds() {
		text.WriteString(" " + kind.Name)
	}
	text.WriteString("\n\nMutations, each found by schedules of one kind:\n")
	for _, mutation := range modelchecker.Mutations() {
		fmt.Fprintf(&text, "  %-18s %-12s %s\n", mutation.Name, mutation.Kind, mutation.Help)
	}
	return text.String()
}

func kindsNamed(name string) ([]modelchecker.Kind, error) {
	if name == "" {
		return modelchecker.Kinds(), nil
	}
	for _, kind := range modelchecker.Kinds() {
		if kind.Name == name {
			return []modelchecker.Kind{kind}, nil
		}
	}
	return nil, commander.Usagef("there is no kind %q", name)
}

func mutationNamed(name string) (modelchecker.Mutation, error) {
	if name == "" {
		return modelchecker.Mutation{}, nil
	}
	for _, mutation := range modelchecker.Mutations() {
		if mutation.Name == name {
			return mutation, nil
		}
	}
	return modelchecker.Mutation{}, commander.Usagef("there is no mutation %q", name)
}

func checkModel(ctx context.Context, streams commander.Streams, kinds []modelchecker.Kind, search modelchecker.Search) error {
	for _, kind := range kinds {
		search.Kind = kind
		found, reached := search.Run(ctx)
		if found != nil {
			fmt.Fprintln(streams.Out, strings.Join(found.Steps, "\n"))
			return fmt.Errorf("kind %s, seed %d: %w", kind.Name, found.Seed, found.Cause)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		fmt.Fprintf(streams.Out, "%s: %d schedules from seed %d break no promise; reached %v\n", kind.Name, search.Count, search.From, reached)
	}
	return nil
}
