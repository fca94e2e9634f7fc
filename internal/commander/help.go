// Help of a program, from the table that also dispatches its commands.

package commander

import (
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

const helpName = "help"

// columnGap is the number of spaces between the columns of the list.
const columnGap = 2

func isHelp(arg string) bool {
	return arg == helpName || arg == "--help" || arg == "-help" || arg == "-h"
}

// printHelp prints the help of each named command, or the list of commands when
// none is named.
func printHelp(streams Streams, program string, table []Command, names []string) error {
	if len(names) == 0 {
		printList(streams.Out, program, table)
		return nil
	}
	for _, name := range names {
		command, ok := findCommand(table, name)
		if !ok {
			return unknownCommand(program, name)
		}
		printCommand(streams.Out, program, command)
	}
	return nil
}

func unknownCommand(program, name string) *UsageError {
	return &UsageError{
		Problem: fmt.Sprintf("unknown command %q", name),
		Advice:  fmt.Sprintf("run '%s help' for the list of commands", program),
	}
}

func printList(w io.Writer, program string, table []Command) {
	fmt.Fprintf(w, "Usage: %s COMMAND [flags] [arguments]\n\nCommands:\n", program)
	columns := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, command := range table {
		fmt.Fprintf(columns, "  %s\t%s\n", command.Name, command.Summary)
	}
	columns.Flush()
	fmt.Fprintf(w, "\nRun '%s help COMMAND' for the help of one command.\n", program)
}

func printCommand(w io.Writer, program string, command Command) {
	usage := strings.TrimSpace(fmt.Sprintf("%s %s %s", program, command.Name, command.Usage))
	fmt.Fprintf(w, "Usage: %s\n\n%s\n", usage, command.Summary)
	if command.Help != "" {
		fmt.Fprintf(w, "\n%s\n", strings.TrimSpace(command.Help))
	}
	printFlags(w, newFlagSet(command))
}

func printFlags(w io.Writer, flags *flag.FlagSet) {
	count := 0
	flags.VisitAll(func(*flag.Flag) { count++ })
	if count == 0 {
		return
	}
	fmt.Fprint(w, "\nFlags:\n")
	flags.SetOutput(w)
	flags.PrintDefaults()
}
