// Package daemon holds the commands that run hyssoploom's processes.
package daemon

import (
	"context"
	"fmt"
	"net"
	"os"

	"github.com/spf13/cobra"

	"hyssoploom/cli"
	"hyssoploom/dialect"
	"hyssoploom/entry"
	"hyssoploom/settings"
	"hyssoploom/supervise"
	"hyssoploom/telemetry"
)

// EntryCommand returns the command that runs an entry.
func EntryCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     "entry",
		Short:   "Run an entry: the callers' API",
		Example: "  hyssoploom entry --settings /etc/hyssoploom/entry.toml",
		Args:    cli.WithUsageError(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runEntry(context.WithoutCancel(cmd.Context()), path)
		},
	}
	settingsFlag(cmd, &path)
	return cmd
}

// settingsFlag adds the flag that every daemon needs.
func settingsFlag(cmd *cobra.Command, path *string) {
	cmd.Flags().StringVar(path, "settings", "", "path of the TOML settings file (required)")
	_ = cmd.MarkFlagRequired("settings")
}

func runEntry(ctx context.Context, path string) error {
	s, err := settings.LoadEntry(path)
	if err != nil {
		return cli.ExitErrorf(cli.CodeUsage, "%w", err)
	}
	log := telemetry.NewLogger(os.Stderr, s.Log.Level, "entry")
	tracing, err := newTracing(ctx, s.Trace, s.Name)
	if err != nil {
		return cli.ExitErrorf(cli.CodeUsage, "%s: trace: %w", path, err)
	}
	defer shutDown(ctx, tracing, log)
	rater, err := newRater(s.RaterURL)
	if err != nil {
		return cli.ExitErrorf(cli.CodeUsage, "%s: rater_url: %w", path, err)
	}
	listener, err := listen(path, "listen", s.Listen)
	if err != nil {
		return err
	}
	e := entry.New(s, entry.Deps{
		Store:   dialect.NewHTTPStore(s.StoreURL),
		VMs:     dialect.NewHTTPVMList(s.VMListURL),
		Rater:   rater,
		Log:     log,
		Tracing: tracing,
	})
	return supervise.Run(ctx, &entryDaemon{entry: e, listener: listener}, log)
}

// entryDaemon serves an entry on an open listener.
type entryDaemon struct {
	entry    *entry.Entry
	listener net.Listener
}

func (d *entryDaemon) Serve(ctx context.Context) error { return d.entry.ServeOn(ctx, d.listener) }

func (d *entryDaemon) Drain(ctx context.Context) error { return d.entry.Drain(ctx) }

// listen opens a listener; its error names the settings file and the key.
func listen(path, key, addr string) (net.Listener, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, cli.ExitErrorf(cli.CodeUsage, "%s: %s: %w", path, key, err)
	}
	return listener, nil
}

func newTracing(ctx context.Context, t settings.Trace, process string) (*telemetry.Tracing, error) {
	return telemetry.NewTracing(ctx, telemetry.Exporter(t.Exporter), t.Endpoint, process, os.Stdout)
}

func shutDown(ctx context.Context, tracing *telemetry.Tracing, log *telemetry.Logger) {
	if err := tracing.Shutdown(ctx); err != nil {
		log.Warn("Spans were not sent.", "error", err.Error())
	}
}

// noRater stands for a rater that the settings do not name.
type noRater struct{}

func (noRater) Rate(context.Context, dialect.RateRequest) (dialect.Rating, error) {
	return dialect.Rating{}, fmt.Errorf("%w: no rater_url in the settings", dialect.ErrRaterUnavailable)
}

func newRater(url string) (dialect.Rater, error) {
	if url == "" {
		return noRater{}, nil
	}
	return dialect.NewHTTPRater(url, 0)
}
