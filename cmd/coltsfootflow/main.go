// Command coltsfootflow runs and inspects the daemons of a proxy fleet. Run
// "coltsfootflow help" for its commands.
package main

import "github.com/coltsfootflow/coltsfootflow/internal/commander"

func main() {
	commander.Main("coltsfootflow", commands())
}

// commands returns the commands in the order in which the help lists them.
func commands() []commander.Command {
	return []commander.Command{
		daemonCommand(),
		sidecarCommand(),
		checkCommand(),
		statusCommand(),
		explainCommand(),
		versionCommand(),
	}
}
