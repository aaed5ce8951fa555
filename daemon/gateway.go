package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/gorilla/mux"
	"github.com/spf13/cobra"
	"github.com/thejerf/suture/v4"

	"hyssoploom/backend"
	"hyssoploom/cli"
	"hyssoploom/fleet"
	"hyssoploom/gateway"
	"hyssoploom/internal/uniqueid"
	"hyssoploom/platform"
	"hyssoploom/settings"
	"hyssoploom/supervise"
	"hyssoploom/telemetry"
)

// envGatewaySettings is the environment variable that holds the path of the settings
// file on the users' platform.
const envGatewaySettings = "HYSSOPLOOM_CONFIG"

const (
	// logQueueLines is the capacity of the queue of log lines. When a slow reader
	// lets it fill up, further lines are dropped and counted.
	logQueueLines = 8192
	// gcPercent is below the default of 100 and trades CPU time for a smaller heap,
	// because VMs are small and their peak memory is billed.
	gcPercent = 60
	// memoryLimitFraction is the fraction of the VM's memory that is set as the soft
	// memory limit, near which the garbage collector runs more often.
	memoryLimitFraction = 0.6
	// unmanagedMemory is the memory in bytes of the process that is not under that limit: the
	// program's own text and data, some 20 MiB, and what the collector overshoots by when
	// its VM is busy.
	unmanagedMemory = 28 << 20
)

// GatewayCommand returns the command that runs a gateway, which is an entry on the
// users' platform.
func GatewayCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     "gateway",
		Short:   "Run an entry that routes by host and path on the users' platform",
		Long:    "Runs an entry that routes by host and path on the users' platform.\n\n" + stopHelp,
		Example: "  hyssoploom gateway --settings /etc/hyssoploom/boot.yaml",
		Args:    cli.WithUsageError(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if path == "" {
				return cli.ExitErrorf(cli.CodeUsage, "no settings file: set --settings or %s", envGatewaySettings)
			}
			return runGateway(cmd.Context(), path)
		},
	}
	cmd.Flags().StringVar(&path, "settings", os.Getenv(envGatewaySettings),
		"path of the TOML settings file (env "+envGatewaySettings+")")
	return cmd
}

// memoryLimit returns the soft memory limit in bytes on a VM with the given memory in MiB.
func memoryLimit(memoryMB float64) int64 {
	memory := memoryMB * (1 << 20)
	return int64(min(memory*memoryLimitFraction, max(memory-unmanagedMemory, memory*memoryLimitFraction/2)))
}

// runGateway runs until it fails or a stop is asked for, by a signal or the end of stop.
func runGateway(stop context.Context, path string) error {
	supervise.IgnoreHangups()
	ctx := context.WithoutCancel(stop)
	s, err := settings.LoadGateway(path)
	if err != nil {
		return cli.ExitErrorf(cli.CodeUsage, "%w", err)
	}
	debug.SetGCPercent(gcPercent)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(memoryLimit(s.MemoryMB))
	}
	logQueue := telemetry.NewLineQueue(os.Stdout, logQueueLines, s.Name)
	defer logQueue.Close()
	logger := telemetry.NewLogger(logQueue, s.Log.Level, "gateway").SetProcess(s.Name)
	logger.Info("Starting.", "data_centre", s.DataCentre, "store", s.StoreAddress)
	tracing, err := newTracing(ctx, s.Trace, s.Name)
	if err != nil {
		return cli.ExitErrorf(cli.CodeUsage, "%s: trace: %w", path, err)
	}
	defer shutDownTracing(ctx, tracing, logger)
	d, err := newGatewayDaemon(path, s, logQueue, tracing, logger)
	if err != nil {
		return err
	}
	d.tree.Add(supervise.Func{Name: "settings", Run: func(ctx context.Context) error {
		return watchSettings(ctx, path, s, d.gateway, logger)
	}})
	return supervise.Run(stop, d, logger)
}

// gatewayDaemon implements supervise.Daemon for a gateway. tree runs its background
// services: the readers of the store, the peer connections, roll-outs, the ledger,
// and the readiness and metrics endpoints.
type gatewayDaemon struct {
	gateway  *gateway.Gateway
	tree     *suture.Supervisor
	listener net.Listener
}

// poolConfig returns the bounds of the connections to backend servers.
func poolConfig(s *settings.Gateway) backend.Config {
	if s.HasFeature(settings.FeaturePressure) {
		return backend.Config{MaxBodyPause: backend.SlowBodyPause}
	}
	return backend.Config{}
}

func newGatewayDaemon(path string, s *settings.Gateway, logQueue *telemetry.LineQueue, tracing *telemetry.Tracing, logger *telemetry.Logger) (*gatewayDaemon, error) {
	listener, err := listen(path, "listen", s.Listen)
	if err != nil {
		return nil, err
	}
	readyListener, err := listen(path, "ready_listen", s.ReadyListen)
	if err != nil {
		return nil, err
	}
	records := &platform.Records{Regions: s.DataCentres}
	store := platform.NewStore(s.StoreAddress)
	state := fleet.NewState(records, time.Now, platform.ConfigPrefix, platform.ServersPrefix)
	freshness, serversFreshness := fleet.NewFreshness(fleet.BootTime), fleet.NewFreshness(fleet.BootTime)
	metrics := telemetry.NewMetrics()
	pool := backend.NewPool(poolConfig(s))
	metrics.Func("log_lines_dropped", func() any { return logQueue.Dropped() })
	metrics.Func("backend_dials", func() any { return pool.Dials() })
	metrics.Func("store_copies", func() any { return state.Summaries() })
	self := fleet.Peer{Name: s.Name, Address: s.PeerAddress, DataCentre: s.DataCentre, Region: s.Region}
	g := gateway.New(s, gateway.Deps{
		State:        state,
		Fresh:        freshness,
		ServersFresh: serversFreshness,
		Pool:         pool,
		Protocol:     platform.Protocol{},
		Log:          logger,
		Metrics:      metrics,
		Tracing:      tracing,
		Store:        store,
		Records:      records,
		Self:         self,
		ChargeStore:  platform.StoreAdapter{Store: store},
		BootID:       uniqueid.ForProcess(s.Name),
		StartTime:    time.Now(),
	})
	key, value := records.PeerItem(self)
	tree := supervise.New("gateway", logger.WithComponent("supervisor"))
	config := fleet.NewFollower(store, state, platform.ConfigPrefix, logger.WithComponent("fleet"))
	config.Fresh, config.WatchWait = freshness, g.ConfigWatchTimeout
	config.IsReader = g.IsConfigReader
	config.SuppliedByPeer, config.OnChange = g.ConfigSuppliedByPeer, g.BroadcastConfig
	tree.Add(config)
	servers := fleet.NewFollower(store, state, platform.ServersPrefix, logger.WithComponent("fleet"))
	servers.Fresh, servers.WatchWait = serversFreshness, g.ConfigWatchTimeout
	servers.IsReader, servers.RewatchDelay = g.IsServersReader, fleet.ServersRewatchDelay
	servers.SuppliedByPeer, servers.OnChange = g.ServersSuppliedByPeer, g.BroadcastServers
	tree.Add(servers)
	tree.Add(fleet.NewPresence(store, key, value, logger.WithComponent("presence")))
	peerListener, err := listen(path, "peer_listen", s.PeerListen)
	if err != nil {
		return nil, err
	}
	tree.Add(supervise.Func{Name: "peers", Run: func(ctx context.Context) error { return g.ServePeers(ctx, peerListener) }})
	tree.Add(supervise.Func{Name: "duty", Run: g.ServeRollouts})
	tree.Add(supervise.Func{Name: "blocks", Run: g.ServeBlocks})
	tree.Add(supervise.Func{Name: "ledger", Run: g.ServeLedger})
	tree.Add(supervise.HTTP("ready", g.Guard().Listener(readyListener, true), http.HandlerFunc(g.ServeReady)))
	if s.MetricsListen != "" {
		metricsListener, err := listen(path, "metrics_listen", s.MetricsListen)
		if err != nil {
			return nil, err
		}
		router := mux.NewRouter()
		router.Handle("/metrics", metrics)
		tree.Add(supervise.HTTP("metrics", g.Guard().Listener(metricsListener, true), router))
	}
	return &gatewayDaemon{gateway: g, tree: tree, listener: listener}, nil
}

// Serve implements supervise.Daemon.
func (d *gatewayDaemon) Serve(ctx context.Context) error {
	treeStopped := d.tree.ServeBackground(ctx)
	err := d.gateway.ServeOn(ctx, d.listener)
	if treeErr := <-treeStopped; treeErr != nil && !errors.Is(treeErr, context.Canceled) {
		return errors.Join(err, treeErr)
	}
	return err
}

// Drain implements supervise.Daemon.
func (d *gatewayDaemon) Drain(ctx context.Context) error { return d.gateway.Drain(ctx) }
