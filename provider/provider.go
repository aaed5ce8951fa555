// Package provider keeps a configuration snapshot in sync with the platform's
// store.
package provider

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"hyssoploom/config"
	"hyssoploom/dialect"
)

// Defaults of Options, and the request rates and delays of all providers.
const (
	DefaultMaxWatchWait        = 30 * time.Second
	DefaultWatcherListInterval = 30 * time.Second
	DefaultPollerListInterval  = 5 * time.Minute
	DefaultCallTimeout         = 5 * time.Second
	listTimeoutFactor          = 2 // a list takes longer than other calls
	minPollInterval            = 2 * time.Second
	minWatchSpacing            = 50 * time.Millisecond
	maxPollsPerSecond          = 100.0 // of all processes of one kind, per prefix
	maxWatchesPerSecond        = 400.0 // of all entries while records change
	minBackoff, maxBackoff     = 200 * time.Millisecond, 5 * time.Second
	jitterFraction             = 0.2 // width of the random spread, relative to the delay
	// maxListBytesPerSecond bounds the mean rate of full lists, because a node may use
	// 15 KB/s for all control traffic: a list of 700 records is 360 KB on the wire,
	// which would be 12 KB/s at one list every 30 s.
	maxListBytesPerSecond = 4 << 10
	base64Factor          = 4.0 / 3 // values are base64 on the wire
)

// Options configure a watcher or poller. The zero value selects the defaults.
type Options struct {
	// MaxWatchWait is the longest time that one watch waits for changes.
	MaxWatchWait time.Duration
	// MinListInterval is the shortest interval between full lists, which find
	// changes that watches missed. Large lists are fetched less often, to stay below
	// maxListBytesPerSecond.
	MinListInterval time.Duration
	// CallTimeout is the timeout of each call; for a watch it is added to the wait,
	// and for a list it is multiplied by listTimeoutFactor.
	CallTimeout time.Duration
	// Processes returns the number of processes of this kind, which share a fixed
	// limit of reads per second. Nil means one process; for NewPoller, the number of
	// backend servers in the snapshot.
	Processes func() int
	// OnChange is called with the records from the store that changed the snapshot.
	// It must not block.
	OnChange func([]config.Record)
	// Logger is log.DefaultLogger when nil.
	Logger *log.Logger
}

func (o Options) withDefaults(defaultListInterval time.Duration) Options {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&o.MaxWatchWait, DefaultMaxWatchWait)
	set(&o.MinListInterval, defaultListInterval)
	set(&o.CallTimeout, DefaultCallTimeout)
	if o.Processes == nil {
		o.Processes = func() int { return 1 }
	}
	if o.OnChange == nil {
		o.OnChange = func([]config.Record) {}
	}
	if o.Logger == nil {
		o.Logger = &log.DefaultLogger
	}
	return o
}

// pollInterval returns the interval between the polls of one process.
func (o Options) pollInterval() time.Duration {
	return max(minPollInterval, seconds(float64(o.Processes())/maxPollsPerSecond))
}

// watchSpacing returns the pause after a watch that returned changes. Without it,
// an apply command that writes several hundred records would make each entry start
// a watch per record.
func (o Options) watchSpacing() time.Duration {
	return max(minWatchSpacing, seconds(float64(o.Processes())/maxWatchesPerSecond))
}

// listInterval returns the interval between full lists of a size in bytes.
func (o Options) listInterval(size int) time.Duration {
	return max(o.MinListInterval, seconds(float64(size)*base64Factor/maxListBytesPerSecond))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Provider is a service that keeps a snapshot in sync with the store. Use
// NewWatcher or NewPoller.
type Provider struct {
	name    string
	syncers []*prefixSyncer
}

// NewWatcher returns the provider of an entry, which watches the operators'
// records, polls the quarantines and lists both periodically. The quarantines are
// polled because a second long-poll watch per entry would double the entries'
// share of the store's read rate.
func NewWatcher(store dialect.Store, snapshot *config.Snapshot, o Options) *Provider {
	o = o.withDefaults(DefaultWatcherListInterval)
	return &Provider{name: "watcher", syncers: []*prefixSyncer{
		newPrefixSyncer(store, snapshot, config.RecordPrefix, true, o),
		newPrefixSyncer(store, snapshot, config.QuarantinePrefix, false, o),
	}}
}

// NewPoller returns the provider of an agent, which polls for changes. It lists
// rarely, because a full list takes hundreds of kilobytes. Without
// Options.Processes, the poll interval depends on the number of backend servers in
// the snapshot.
func NewPoller(store dialect.Store, snapshot *config.Snapshot, o Options) *Provider {
	if o.Processes == nil {
		o.Processes = func() int { return len(snapshot.View().BackendServers) }
	}
	o = o.withDefaults(DefaultPollerListInterval)
	return &Provider{name: "poller", syncers: []*prefixSyncer{
		newPrefixSyncer(store, snapshot, config.RecordPrefix, false, o),
		newPrefixSyncer(store, snapshot, config.QuarantinePrefix, false, o),
	}}
}

// String names the service in the supervisor's log.
func (p *Provider) String() string { return "config " + p.name }

// Serve syncs the snapshot until the context ends.
func (p *Provider) Serve(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, s := range p.syncers {
		g.Go(func() error { return s.run(ctx) })
	}
	if err := g.Wait(); err != nil {
		return eris.Wrapf(err, "config %s", p.name)
	}
	return nil
}

// Staleness returns the time since the last successful call to the store, or since
// the provider was created if there was none; it is the maximum over all prefixes.
// While nothing changes, it rises up to the longest wait of a watch.
func (p *Provider) Staleness() time.Duration {
	var staleness time.Duration
	for _, s := range p.syncers {
		staleness = max(staleness, s.staleness())
	}
	return staleness
}

// Synced reports whether full lists of all prefixes have been applied.
func (p *Provider) Synced() bool {
	for _, s := range p.syncers {
		if !s.listedOnce.Load() {
			return false
		}
	}
	return true
}
