// The command that runs a sidecar on the platform.

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
	// settingsPoll is how often the settings file is looked at for changes.
	settingsPoll = time.Second
	// collectorPercent lets the heap grow to this share of what is live before it
	// is collected: a sidecar has little live, and memory costs less than work.
	collectorPercent = 300
	// memoryShare is the part of the memory setting that the collector keeps the
	// heap below.
	memoryShare = 0.7
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
			// Taken as long as the process lives: by default SIGHUP would end it, and a
			// stop cut off in its middle cuts requests.
			changed := make(chan os.Signal, 1)
			signal.Notify(changed, syscall.SIGHUP)
			settings, faults := parser.ReadSidecarSettings(config)
			if len(faults) > 0 {
				return badInput(faults)
			}
			return runSidecar(ctx, streams, config, settings, changed)
		},
	}
}

func runSidecar(ctx context.Context, streams commander.Streams, config string, settings parser.Settings, changed <-chan os.Signal) error {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(collectorPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.Sidecar.Memory)))

	log, stopLogging := startLogging(streams.Out, settings.Sidecar.LogLines, settings)
	defer stopLogging()
	sidecar, err := supervisor.New(settings, supervisor.Platform{
		Names:     platform.HeaderNames,
		ReadyPath: platform.ReadyPath,
		NewSource: func(address string, clock flow.Clock, log logr.Logger) flow.Source {
			return platform.NewStore(address, clock, log)
		},
	}, log)
	if err != nil {
		return err
	}
	reloading, stopReloading := context.WithCancel(ctx)
	defer stopReloading()
	go reload(reloading, config, changed, sidecar, log)
	return sidecar.Run(ctx)
}

// reload takes changed settings, after a signal or a change of the file.
func reload(ctx context.Context, config string, changed <-chan os.Signal, sidecar *supervisor.Sidecar, log logr.Logger) {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	seen := stampOf(config)
	for {
		select {
		case <-changed:
		case <-ticker.C:
			if stampOf(config) == seen {
				continue
			}
		case <-ctx.Done():
			return
		}
		seen = stampOf(config)
		settings, faults := parser.ReadSidecarSettings(config)
		if len(faults) > 0 {
			log.Error(errors.Join(faults...), "settings are not taken", "step", "reload")
			continue
		}
		sidecar.Reload(settings)
	}
}

// stamp tells versions of a file apart.
type stamp struct {
	changed time.Time
	size    int64
}

func stampOf(path string) stamp {
	info, err := os.Stat(path)
	if err != nil {
		return stamp{} // reading it will say why
	}
	return stamp{changed: info.ModTime(), size: info.Size()}
}
