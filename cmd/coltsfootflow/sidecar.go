// The command that runs a sidecar daemon on the platform.

package main

import (
	"context"
	"errors"
	"flag"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"github.com/coltsfootflow/coltsfootflow/internal/commander"
	"github.com/coltsfootflow/coltsfootflow/internal/process/supervisor"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/pkg/parser"
	"github.com/coltsfootflow/coltsfootflow/platform"
)

const (
	// settingsPollInterval is the time between checks of the settings file for changes.
	settingsPollInterval = time.Second
	// gcPercent lets the heap grow by this share of the live heap before a collection.
	// The live heap of a sidecar is small, and memory is cheaper than processor time.
	gcPercent = 300
	// memoryLimitShare is the part of the memory setting that the garbage collector
	// keeps the memory of the Go runtime below.
	memoryLimitShare = 0.7
)

func sidecarCommand() commander.Command {
	var config string
	return commander.Command{
		Name:    "sidecar",
		Usage:   "--config FILE",
		Summary: "runs the daemon beside one backend server of a platform",
		Help: `
The settings are JSON with comments; docs/OPERATORS/sidecar.md lists them. Logs
go to standard output, a JSON document a line. SIGTERM and SIGINT stop the
daemon without cutting a request; SIGHUP, or a change of the file, makes it read
its settings again.`,
		Register: func(flags *flag.FlagSet) {
			flags.StringVar(&config, "config", "", "settings file")
		},
		Run: func(ctx context.Context, streams commander.Streams, _ []string) error {
			if config == "" {
				return commander.Usagef("--config is missing")
			}
			// SIGHUP is caught until the process ends. By default it ends the process, and
			// during a graceful stop that would abort requests.
			hangups := make(chan os.Signal, 1)
			signal.Notify(hangups, syscall.SIGHUP)
			settings, faults := parser.ReadSidecarSettings(config)
			if len(faults) > 0 {
				return invalidInput(faults)
			}
			return runSidecar(ctx, streams, config, settings, hangups)
		},
	}
}

func runSidecar(ctx context.Context, streams commander.Streams, config string, settings parser.Settings, hangups <-chan os.Signal) error {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.Sidecar.Memory)))

	log, stopLogging := startLogging(streams.Out, settings.Sidecar.LogLines, settings)
	defer stopLogging()
	sidecar, err := supervisor.New(settings, supervisor.Platform{
		Names:     platform.HeaderNames,
		ReadyPath: platform.ReadyPath,
		NewSource: func(address string, clock flow.Clock, log logr.Logger) flow.Source {
			return platform.NewStore(address, nil, clock, log)
		},
	}, log)
	if err != nil {
		return err
	}
	reloadCtx, stopReload := context.WithCancel(ctx)
	defer stopReload()
	go reloadSettings(reloadCtx, config, hangups, sidecar, log)
	return sidecar.Run(ctx)
}

// reloadSettings applies changed settings after SIGHUP or a change of the file.
// Invalid settings are logged, and the previous ones stay in force.
func reloadSettings(ctx context.Context, config string, hangups <-chan os.Signal, sidecar *supervisor.Sidecar, log logr.Logger) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	loaded := fileVersionOf(config)
	for {
		select {
		case <-hangups:
		case <-ticker.C:
			if fileVersionOf(config) == loaded {
				continue
			}
		case <-ctx.Done():
			return
		}
		loaded = fileVersionOf(config)
		settings, faults := parser.ReadSidecarSettings(config)
		if len(faults) > 0 {
			log.Error(errors.Join(faults...), "rejected invalid settings", "step", "reload")
			continue
		}
		sidecar.Reload(settings)
	}
}

// fileVersion identifies a version of a file.
type fileVersion struct {
	modified time.Time
	size     int64
}

func fileVersionOf(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{} // reading the file reports the error
	}
	return fileVersion{modified: info.ModTime(), size: info.Size()}
}
