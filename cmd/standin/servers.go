// The commands that serve until they are interrupted. Once it listens, each prints
// one line that begins with "ready" and names its addresses.

package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/coltsfootflow/coltsfootflow/internal/commander"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/acceptor"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/interrupter"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/publisher"
	"github.com/coltsfootflow/coltsfootflow/internal/standin/server"
	"github.com/coltsfootflow/coltsfootflow/pkg/parser"
)

const addressFlags = "[--address IP:PORT] [--admin-address IP:PORT]"

func platformCommand() commander.Command {
	var options publisher.Options
	var directory, mode string
	return commander.Command{
		Name:    "platform",
		Usage:   addressFlags + " [--records DIRECTORY] [--mode MODE]",
		Summary: "serves records to be read and watched",
		Help: `
Readers call GET /v1/records?after=R&limit-bytes=N and
GET /v1/watch?after=R&timeout=30s; GET /v1/calls counts their calls.

A directory of record files is read each second, and what changed is published.
Administration: PUT /admin/records with a JSON list of documents,
PUT or DELETE /admin/records/KIND/NAME, POST /admin/mode?mode=MODE,
GET /admin/calls.`,
		Register: func(flags *flag.FlagSet) {
			flags.StringVar(&options.Address, "address", acceptor.LoopbackAddress, "ip:port for readers")
			flags.StringVar(&options.AdminAddress, "admin-address", acceptor.LoopbackAddress, "ip:port for administration")
			flags.DurationVar(&options.SlowDelay, "slow-delay", publisher.DefaultSlowDelay, "delay of mode slow")
			flags.StringVar(&directory, "records", "", "directory of record files to publish")
			flags.StringVar(&mode, "mode", string(publisher.ModeNormal), "mode: normal, down, stale or slow")
		},
		Run: func(ctx context.Context, streams commander.Streams, _ []string) error {
			p, err := publisher.New(ctx, options)
			if err != nil {
				return err
			}
			if err := p.SetMode(publisher.Mode(mode)); err != nil {
				return commander.Usagef("%v", err)
			}
			fmt.Fprintf(streams.Out, "ready address=%s admin-address=%s\n", p.Addr(), p.AdminAddr())
			if directory != "" {
				p.FollowDirectory(ctx, directory, parser.ReadRecords, func(err error) { fmt.Fprintln(streams.Err, err) })
			}
			p.Wait()
			return nil
		},
	}
}

func backendCommand() commander.Command {
	var options server.Options
	return commander.Command{
		Name:    "backend",
		Usage:   addressFlags + " [--name NAME] [--fault FAULT] [flags]",
		Summary: "serves requests as a backend server, healthy or with a fault",
		Help: `
Responses carry the ids of their request, padding of ?size=BYTES and a digest.
GET /health and GET /load serve its probes.

Administration: GET /admin/journal, GET /admin/stats,
POST /admin/fault?fault=KIND&fault-share=0.5 with the flags of a fault,
POST /admin/drain?draining=true, POST /admin/cold,
POST /admin/health?mode=true, good or bad.`,
		Register: func(flags *flag.FlagSet) { options.RegisterFlags(flags) },
		Run: func(ctx context.Context, streams commander.Streams, _ []string) error {
			if err := options.Check(); err != nil {
				return commander.Usagef("%v", err)
			}
			s, err := server.New(ctx, options)
			if err != nil {
				return err
			}
			fmt.Fprintf(streams.Out, "ready address=%s admin-address=%s\n", s.Addr(), s.AdminAddr())
			s.Wait()
			return nil
		},
	}
}

func faultCommand() commander.Command {
	var options interrupter.Options
	return commander.Command{
		Name:    "fault",
		Usage:   "--link NAME=LISTEN,TARGET [--link ...] [--admin-address IP:PORT]",
		Summary: "forwards TCP connections and injects faults",
		Help: `
Each link listens on one address and forwards to its target.

Administration: GET /admin/links,
POST /admin/fault?link=NAME&direction=forward&kind=KIND&delay=5ms&jitter=1ms&bytes=N
with direction forward, backward or both, and kind pass, cut, swallow, hold,
truncate or reset; POST /admin/silence?link=NAME silences the connections that
are open now.`,
		Register: func(flags *flag.FlagSet) {
			options.Links = nil
			flags.Var((*interrupter.LinkFlag)(&options.Links), "link", "a link, like NAME=LISTEN,TARGET; may be repeated")
			flags.StringVar(&options.AdminAddress, "admin-address", acceptor.LoopbackAddress, "ip:port for administration")
			flags.Uint64Var(&options.Seed, "seed", 1, "seed of all jitter")
		},
		Run: func(ctx context.Context, streams commander.Streams, _ []string) error {
			if len(options.Links) == 0 {
				return commander.Usagef("no link is named")
			}
			i, err := interrupter.New(ctx, options)
			if err != nil {
				return err
			}
			fmt.Fprintf(streams.Out, "ready admin-address=%s", i.AdminAddr())
			for _, link := range options.Links {
				fmt.Fprintf(streams.Out, " %s=%s", link.Name, i.Link(link.Name).Addr())
			}
			fmt.Fprintln(streams.Out)
			i.Wait()
			return nil
		},
	}
}
