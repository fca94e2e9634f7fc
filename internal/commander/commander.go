// Package commander runs a command-line program from one table of commands.
// The list of commands, the help of each and the dispatch all read the same
// rows, so that none of them can fall behind the others.
package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3"
)

// The exit codes of a program.
const (
	// ExitFine is the code of a command that did its work.
	ExitFine = 0
	// ExitFailed is the code of a command that failed at its work.
	ExitFailed = 1
	// ExitUsage is the code of bad usage or bad input.
	ExitUsage = 2
)

// Streams are where a command writes: Out for its results, Err for what it
// has to say about its work.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// Command is one row of a program's table.
type Command struct {
	Name    string // the word that selects the command
	Usage   string // flags and arguments as the help shows them, without program and name
	Summary string // one line for the list of commands
	Help    string // the long text of the command's own help

	// Register adds the command's flags to a flag set; nil when it has none.
	// It also sets them to their defaults.
	Register func(flags *flag.FlagSet)

	// Run does the work with the arguments left over by the flags. It ends when
	// its context does.
	Run func(ctx context.Context, streams Streams, args []string) error
}

// -----------------------------------------------------------------------------

// UsageError is an error of the one who called the program: bad usage or bad
// input.
type UsageError struct {
	Problem string // what was wrong
	Advice  string // what to do; empty for a pointer to the command's help
}

// Error returns what was wrong.
func (e *UsageError) Error() string { return e.Problem }

// Usagef returns a UsageError whose problem is formatted like fmt.Sprintf's
// result.
func Usagef(format string, args ...any) *UsageError {
	return &UsageError{Problem: fmt.Sprintf(format, args...)}
}

// -----------------------------------------------------------------------------

// Main runs the command named by the process's arguments and ends the process
// with its exit code. SIGINT and SIGTERM end the command's context.
func Main(program string, table []Command) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := Run(ctx, program, table, os.Args[1:], Streams{Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}

// Run runs the command that args name and returns the exit code. Flags that
// args do not set are taken from the environment, where flag admin-address of
// program standin is STANDIN_ADMIN_ADDRESS.
func Run(ctx context.Context, program string, table []Command, args []string, streams Streams) int {
	if len(args) == 0 {
		printList(streams.Err, program, table)
		return ExitUsage
	}
	if isHelp(args[0]) {
		return report(streams, program, help(streams, program, table, args[1:]))
	}
	command, ok := find(table, args[0])
	if !ok {
		return report(streams, program, unknown(program, args[0]))
	}
	return report(streams, program+" "+command.Name, runCommand(ctx, program, command, args[1:], streams))
}

func runCommand(ctx context.Context, program string, command Command, args []string, streams Streams) error {
	flags := newFlagSet(command)
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix(environmentPrefix(program)))
	if errors.Is(err, flag.ErrHelp) {
		printCommand(streams.Out, program, command)
		return nil
	}
	if err != nil {
		err = Usagef("%s", strings.TrimPrefix(err.Error(), "error parsing commandline arguments: "))
		return withAdvice(err, program, command)
	}
	return withAdvice(command.Run(ctx, streams, flags.Args()), program, command)
}

// withAdvice points a UsageError without advice at the command's help.
func withAdvice(err error, program string, command Command) error {
	var usage *UsageError
	if errors.As(err, &usage) && usage.Advice == "" {
		usage.Advice = fmt.Sprintf("run '%s help %s'", program, command.Name)
	}
	return err
}

// report says what went wrong, if anything, in one line that starts with the
// words that were typed, and returns the exit code.
func report(streams Streams, words string, err error) int {
	if err == nil {
		return ExitFine
	}
	var usage *UsageError
	if !errors.As(err, &usage) {
		fmt.Fprintf(streams.Err, "%s: %v\n", words, err)
		return ExitFailed
	}
	fmt.Fprintf(streams.Err, "%s: %v; %s\n", words, err, usage.Advice)
	return ExitUsage
}

// -----------------------------------------------------------------------------

func find(table []Command, name string) (Command, bool) {
	for _, command := range table {
		if command.Name == name {
			return command, true
		}
	}
	return Command{}, false
}

func newFlagSet(command Command) *flag.FlagSet {
	flags := flag.NewFlagSet(command.Name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	if command.Register != nil {
		command.Register(flags)
	}
	return flags
}

func environmentPrefix(program string) string {
	return strings.ToUpper(strings.ReplaceAll(program, "-", "_"))
}
