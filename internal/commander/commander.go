// Package commander runs a command-line program from one table of commands.
// The list of commands, their help and the dispatch use the same rows, so that
// they always agree.
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
	// ExitOK is the exit code of a command that succeeded.
	ExitOK = 0
	// ExitFailed is the exit code of a command that failed.
	ExitFailed = 1
	// ExitUsage is the exit code after bad usage or bad input.
	ExitUsage = 2
)

// Streams are the outputs of a command.
type Streams struct {
	Out io.Writer // results
	Err io.Writer // diagnostics
}

// Command is one row of a program's table.
type Command struct {
	Name    string // word that selects the command
	Usage   string // flags and arguments in the help, without program and name
	Summary string // one line for the list of commands
	Help    string // long text of the command's own help; may be empty

	// Register adds the command's flags to a flag set and sets them to their
	// defaults. It is nil for a command without flags.
	Register func(flags *flag.FlagSet)

	// Run runs the command with the arguments that follow the flags. It returns
	// when the context ends.
	Run func(ctx context.Context, streams Streams, args []string) error
}

// UsageError is an error of the user of the program: bad usage or bad input.
type UsageError struct {
	Problem string // what was wrong
	Advice  string // what to do; empty for a reference to the command's help
}

// Error returns what was wrong.
func (e *UsageError) Error() string { return e.Problem }

// Usagef returns a UsageError whose problem is formatted as by fmt.Sprintf.
func Usagef(format string, args ...any) *UsageError {
	return &UsageError{Problem: fmt.Sprintf(format, args...)}
}

// Main runs the command that the arguments of the process select, and exits with
// its code. SIGINT and SIGTERM end the command's context.
func Main(program string, table []Command) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := Run(ctx, program, table, os.Args[1:], Streams{Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}

// Run runs the command that args select and returns the exit code. Flags that
// args do not set are taken from the environment, where flag admin-address of
// program standin is STANDIN_ADMIN_ADDRESS.
func Run(ctx context.Context, program string, table []Command, args []string, streams Streams) int {
	if len(args) == 0 {
		printList(streams.Err, program, table)
		return ExitUsage
	}
	if isHelp(args[0]) {
		return reportError(streams, program, printHelp(streams, program, table, args[1:]))
	}
	command, ok := findCommand(table, args[0])
	if !ok {
		return reportError(streams, program, unknownCommand(program, args[0]))
	}
	return reportError(streams, program+" "+command.Name, runCommand(ctx, program, command, args[1:], streams))
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

// withAdvice makes a UsageError without advice refer to the command's help.
func withAdvice(err error, program string, command Command) error {
	var usage *UsageError
	if errors.As(err, &usage) && usage.Advice == "" {
		usage.Advice = fmt.Sprintf("run '%s help %s'", program, command.Name)
	}
	return err
}

// reportError prints err, if any, on one line that starts with prefix, and returns
// the exit code for it.
func reportError(streams Streams, prefix string, err error) int {
	if err == nil {
		return ExitOK
	}
	var usage *UsageError
	if !errors.As(err, &usage) {
		fmt.Fprintf(streams.Err, "%s: %v\n", prefix, err)
		return ExitFailed
	}
	fmt.Fprintf(streams.Err, "%s: %v; %s\n", prefix, err, usage.Advice)
	return ExitUsage
}

func findCommand(table []Command, name string) (Command, bool) {
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
