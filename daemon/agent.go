package daemon

import (
	"context"
	"net"
	"os"

	"github.com/spf13/cobra"

	"hyssoploom/agent"
	"hyssoploom/cli"
	"hyssoploom/dialect"
	"hyssoploom/settings"
	"hyssoploom/supervise"
	"hyssoploom/telemetry"
)

// AgentCommand returns the command that runs an agent process.
func AgentCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     "agent",
		Short:   "Run an agent, the only path to its backend server",
		Long:    "Runs an agent, the only path to its backend server.\n\n" + stopHelp,
		Example: "  hyssoploom agent --settings /etc/hyssoploom/agent.toml",
		Args:    cli.WithUsageError(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runAgent(cmd.Context(), path)
		},
	}
	addSettingsFlag(cmd, &path)
	return cmd
}

// runAgent runs until it fails or a stop is asked for, by a signal or the end of stop.
func runAgent(stop context.Context, path string) error {
	supervise.IgnoreHangups()
	ctx := context.WithoutCancel(stop)
	s, err := settings.LoadAgent(path)
	if err != nil {
		return cli.ExitErrorf(cli.CodeUsage, "%w", err)
	}
	log := telemetry.NewLogger(os.Stderr, s.Log.Level, "agent")
	tracing, err := newTracing(ctx, s.Trace, s.Name)
	if err != nil {
		return cli.ExitErrorf(cli.CodeUsage, "%s: trace: %w", path, err)
	}
	defer shutDownTracing(ctx, tracing, log)
	d := &agentDaemon{}
	if d.listener, err = listen(path, "listen", s.Listen); err != nil {
		return err
	}
	if s.AdminListen != "" {
		if d.admin, err = listen(path, "admin_listen", s.AdminListen); err != nil {
			return err
		}
	}
	deps := agent.Deps{
		Store:   dialect.NewHTTPStore(s.StoreURL),
		VMs:     dialect.NewHTTPVMList(s.VMListURL),
		Log:     log,
		Tracing: tracing,
	}
	switch s.BackendKind {
	case settings.BackendService:
		deps.Service = dialect.NewHTTPService(s.BackendURL, nil)
	default:
		deps.Engine = dialect.NewHTTPEngine(s.BackendURL, nil)
	}
	d.agent = agent.New(s, deps)
	return supervise.Run(stop, d, log)
}

// agentDaemon implements supervise.Daemon for an agent whose listeners are already
// open. admin is nil if the settings have no admin_listen.
type agentDaemon struct {
	agent    *agent.Agent
	listener net.Listener
	admin    net.Listener
}

// Serve implements supervise.Daemon.
func (d *agentDaemon) Serve(ctx context.Context) error {
	return d.agent.ServeOn(ctx, d.listener, d.admin)
}

// Drain implements supervise.Daemon.
func (d *agentDaemon) Drain(ctx context.Context) error { return d.agent.Drain(ctx) }
