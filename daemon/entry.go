// Package daemon provides the commands that run the long-lived processes of
// hyssoploom: entry, agent and gateway.
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

// stopHelp is the part of the help texts of the daemons about stops.
const stopHelp = "SIGTERM or SIGINT drains the process: it takes no new work, ends what runs and exits with 0.\n" +
	"Further signals change nothing, but a second SIGINT ends it at once and cuts what runs."

// EntryCommand returns the command that runs an entry process.
func EntryCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     "entry",
		Short:   "Run an entry, which serves the callers' API",
		Long:    "Runs an entry, which serves the callers' API.\n\n" + stopHelp,
		Example: "  hyssoploom entry --settings /etc/hyssoploom/entry.toml",
		Args:    cli.WithUsageError(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runEntry(cmd.Context(), path)
		},
	}
	addSettingsFlag(cmd, &path)
	return cmd
}

// addSettingsFlag adds the required --settings flag and stores its value in path.
func addSettingsFlag(cmd *cobra.Command, path *string) {
	cmd.Flags().StringVar(path, "settings", "", "path of the TOML settings file (required)")
	_ = cmd.MarkFlagRequired("settings")
}

// runEntry runs until it fails or a stop is asked for, by a signal or the end of stop.
func runEntry(stop context.Context, path string) error {
	supervise.IgnoreHangups()
	ctx := context.WithoutCancel(stop)
	s, err := settings.LoadEntry(path)
	if err != nil {
		return cli.ExitErrorf(cli.CodeUsage, "%w", err)
	}
	log := telemetry.NewLogger(os.Stderr, s.Log.Level, "entry")
	tracing, err := newTracing(ctx, s.Trace, s.Name)
	if err != nil {
		return cli.ExitErrorf(cli.CodeUsage, "%s: trace: %w", path, err)
	}
	defer shutDownTracing(ctx, tracing, log)
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
	return supervise.Run(stop, &entryDaemon{entry: e, listener: listener}, log)
}

// entryDaemon implements supervise.Daemon for an entry whose listener is already
// open.
type entryDaemon struct {
	entry    *entry.Entry
	listener net.Listener
}

// Serve implements supervise.Daemon.
func (d *entryDaemon) Serve(ctx context.Context) error { return d.entry.ServeOn(ctx, d.listener) }

// Drain implements supervise.Daemon.
func (d *entryDaemon) Drain(ctx context.Context) error { return d.entry.Drain(ctx) }

// listen opens a TCP listener. Its error contains the settings file and the key
// that the address comes from.
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

// shutDownTracing exports the buffered spans and logs a failure to do so.
func shutDownTracing(ctx context.Context, tracing *telemetry.Tracing, log *telemetry.Logger) {
	if err := tracing.Shutdown(ctx); err != nil {
		log.Warn("Spans were not sent.", "error", err.Error())
	}
}

// unconfiguredRater is used when the settings have no rater_url. It rejects every
// rating as unavailable.
type unconfiguredRater struct{}

func (unconfiguredRater) Rate(context.Context, dialect.RateRequest) (dialect.Rating, error) {
	return dialect.Rating{}, fmt.Errorf("%w: rater_url is not set in the settings", dialect.ErrRaterUnavailable)
}

func newRater(url string) (dialect.Rater, error) {
	if url == "" {
		return unconfiguredRater{}, nil
	}
	return dialect.NewHTTPRater(url, 0)
}
