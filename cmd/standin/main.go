// Command standin runs stand-ins for the environment of a fleet, for tests and
// experiments: the platform that serves records, backend servers, a faulty network,
// and callers. It also runs experiments, measurements, simulations and soak tests.
// Run "standin help" for its commands.
package main

import "github.com/coltsfootflow/coltsfootflow/internal/commander"

func main() {
	commander.Main("standin", commands())
}

// commands returns the commands in the order in which the help lists them.
func commands() []commander.Command {
	return []commander.Command{
		platformCommand(),
		backendCommand(),
		faultCommand(),
		callerCommand(),
		demoCommand(),
		experimentCommand(),
		compareCommand(),
		plotCommand(),
		measureCommand(),
		simulateCommand(),
		soakCommand(),
	}
}
