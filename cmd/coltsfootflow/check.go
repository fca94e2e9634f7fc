// The command that validates settings and records before they are published.

package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/coltsfootflow/coltsfootflow/internal/commander"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/pkg/parser"
)

func checkCommand() commander.Command {
	var sidecar bool
	return commander.Command{
		Name:    "check",
		Usage:   "[--sidecar] DIRECTORY|FILE ...",
		Summary: "checks directories of records and files of settings",
		Help: `
A directory holds records, as they are published; every file in it that ends
with .json or .hujson is read. A file holds the settings of a daemon. Every
fault is listed with its file, line and field. The exit code is 0 if there are
no faults and 2 otherwise. With --sidecar files hold the settings of sidecars.`,
		Register: func(flags *flag.FlagSet) {
			flags.BoolVar(&sidecar, "sidecar", false, "files hold the settings of sidecars")
		},
		Run: func(_ context.Context, streams commander.Streams, args []string) error {
			if len(args) == 0 {
				return commander.Usagef("no directory or file is named")
			}
			var faults []error
			for _, path := range args {
				summary, found := checkPath(path, sidecar)
				faults = append(faults, found...)
				if len(found) == 0 {
					fmt.Fprintf(streams.Out, "%s: %s\n", path, summary)
				}
			}
			if len(faults) > 0 {
				return invalidInput(faults)
			}
			return nil
		},
	}
}

// checkPath validates the file or directory at a path. It returns a summary, which
// is meaningful only without faults, and the faults.
func checkPath(path string, sidecar bool) (string, []error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", []error{flow.Wrap("check", path, err)}
	}
	if !info.IsDir() && sidecar {
		_, faults := parser.ReadSidecarSettings(path)
		return "settings are valid", faults
	}
	if !info.IsDir() {
		_, faults := parser.ReadSettings(path)
		return "settings are valid", faults
	}
	records, faults := parser.ReadRecords(path)
	faults = append(faults, parser.CheckRecords(records)...)
	return fmt.Sprintf("%d records are valid", len(records)), faults
}
