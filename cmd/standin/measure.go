// The command that measures the costs of a daemon's parts.

package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"strings"

	"github.com/coltsfootflow/coltsfootflow/internal/commander"
	"github.com/coltsfootflow/coltsfootflow/internal/measurer"
)

// measureFlags are the flags of the command measure.
type measureFlags struct {
	options measurer.Options
	sizes   stringsFlag
	out     string
	list    bool
}

func measureCommand() commander.Command {
	var flags measureFlags
	return commander.Command{
		Name:     "measure",
		Usage:    "[--list] [--size PARAMETER=NUMBER,...] [--times N] [--runs N] [--out RESULT.json] NAME...",
		Summary:  "measures what the parts of a daemon cost by the size of the fleet",
		Help:     measureHelp(),
		Register: func(set *flag.FlagSet) { flags.register(set) },
		Run: func(ctx context.Context, streams commander.Streams, args []string) error {
			if flags.list {
				return listMeasurements(streams, args)
			}
			return runMeasurements(ctx, streams, args, flags)
		},
	}
}

func measureHelp() string {
	var help strings.Builder
	help.WriteString("\nEach figure is the median of the runs, with the least and the most beside it.\n" +
		"Measurements that start real daemons need the program coltsfootflow, built\n" +
		"without the race detector. --list with names shows the parameters, sizes and\n" +
		"figures of measurements.\n\nMeasurements:\n")
	_ = measurer.WriteList(&help) // writes to a strings.Builder never fail
	return help.String()
}

func (f *measureFlags) register(set *flag.FlagSet) {
	f.sizes = nil
	set.BoolVar(&f.list, "list", false, "only list the measurements, or describe those named")
	set.Var(&f.sizes, "size", "a size to measure at in place of the default ones, like hosts=27; may be repeated")
	set.IntVar(&f.options.Operations, "times", 0, "operations of a run; 0 for those of each measurement")
	set.IntVar(&f.options.Trials, "runs", measurer.DefaultTrials, "runs of each size")
	set.StringVar(&f.options.Program, "program", "", "the coltsfootflow program; by default the one beside this program")
	set.StringVar(&f.out, "out", "", "file to write the result to as JSON")
}

func listMeasurements(streams commander.Streams, names []string) error {
	if len(names) == 0 {
		return measurer.WriteList(streams.Out)
	}
	tasks, err := measurer.Plan(names, nil)
	if err != nil {
		return commander.Usagef("%v", err)
	}
	for _, task := range tasks {
		if err := task.Measurement.WriteHelp(streams.Out); err != nil {
			return err
		}
	}
	return nil
}

func runMeasurements(ctx context.Context, streams commander.Streams, names []string, flags measureFlags) error {
	if len(names) == 0 {
		return commander.Usagef("no measurement is named")
	}
	if flags.options.Operations < 0 || flags.options.Trials < 1 {
		return commander.Usagef("there must be a run, and no negative number of operations")
	}
	tasks, err := measurer.Plan(names, flags.sizes)
	if err != nil {
		return commander.Usagef("%v", err)
	}
	if flags.options.Program == "" {
		flags.options.Program = siblingProgram("coltsfootflow")
	}
	flags.options.Progress = streams.Err
	result, err := measurer.Run(ctx, tasks, flags.options)
	result.Command = flags.command(names)
	if len(result.Outcomes) == 0 {
		return err
	}
	err = errors.Join(err, result.WriteTable(streams.Out))
	if flags.out != "" {
		err = errors.Join(err, result.WriteFile(flags.out))
	}
	return err
}

// command returns the command line that reproduces a result.
func (f *measureFlags) command(names []string) string {
	arguments := []string{"standin measure"}
	for _, size := range f.sizes {
		arguments = append(arguments, "--size "+size)
	}
	if f.options.Operations != 0 {
		arguments = append(arguments, fmt.Sprintf("--times %d", f.options.Operations))
	}
	arguments = append(arguments, fmt.Sprintf("--runs %d", f.options.Trials))
	return strings.Join(append(arguments, names...), " ")
}
