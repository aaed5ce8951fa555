// Package provider keeps a snapshot up to date from the platform's store.
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

// Defaults of Options.
const (
	DefaultIdle            = 30 * time.Second // longest wait of one watch
	DefaultWatcherList     = 30 * time.Second
	DefaultPollerList      = 5 * time.Minute
	DefaultCallTimeout     = 5 * time.Second
	listTimeoutFactor      = 2 // a list takes longer than other calls
	minPollInterval        = 2 * time.Second
	minWatchSpacing        = 50 * time.Millisecond
	pollsPerSecond         = 100.0 // of all processes of one kind, per prefix
	watchesPerSecond       = 400.0 // of all entries while records change
	minBackoff, maxBackoff = 200 * time.Millisecond, 5 * time.Second
	jitterShare            = 0.2
	// A list of 700 records takes 360 KB on the wire; every 30 s it would use
	// 12 KB/s of the 15 KB/s that control traffic may cost a node.
	listBytesPerSecond = 4 << 10
	wireFactor         = 4.0 / 3 // values are base64 on the wire
)

// Options change a Watcher or Poller. The zero value selects the defaults.
type Options struct {
	// MaxWatchWait is the longest wait of one watch.
	MaxWatchWait time.Duration
	// ListEvery is the shortest interval of full lists, which find what watches
	// missed. Large lists are spaced further, to listBytesPerSecond.
	ListEvery time.Duration
	// CallTimeout bounds each call; for a watch it is added to the wait.
	CallTimeout time.Duration
	// Processes returns the number of processes of this kind. Together they stay
	// below a fixed rate of reads. Nil counts as one process.
	Processes func() int
	// OnChange is called with the records that came from the store and changed
	// the snapshot. It must not block.
	OnChange func([]config.Record)
	// Logger defaults to the process's logger.
	Logger *log.Logger
}

func (o Options) withDefaults(list time.Duration) Options {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&o.MaxWatchWait, DefaultIdle)
	set(&o.ListEvery, list)
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

// pollInterval spaces the polls of one process.
func (o Options) pollInterval() time.Duration {
	return max(minPollInterval, seconds(float64(o.Processes())/pollsPerSecond))
}

// watchSpacing is the pause after a watch that returned changes. Without it, an
// apply of several hundred records would make each entry watch once per record.
func (o Options) watchSpacing() time.Duration {
	return max(minWatchSpacing, seconds(float64(o.Processes())/watchesPerSecond))
}

// listInterval spaces full lists of a size in bytes.
func (o Options) listInterval(size int) time.Duration {
	return max(o.ListEvery, seconds(float64(size)*wireFactor/listBytesPerSecond))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Provider is a service that follows the store. Use NewWatcher or NewPoller.
type Provider struct {
	name      string
	followers []*follower
}

// NewWatcher returns the provider of an entry: it watches the operators'
// records, polls the quarantines and lists both periodically. The quarantines
// are polled because a second waiting watch per entry would double the entries'
// share of the store's read rate.
func NewWatcher(store dialect.Store, snap *config.Snapshot, o Options) *Provider {
	o = o.withDefaults(DefaultWatcherList)
	return &Provider{name: "watcher", followers: []*follower{
		newFollower(store, snap, config.RecordPrefix, true, o),
		newFollower(store, snap, config.QuarantinePrefix, false, o),
	}}
}

// NewPoller returns the provider of an agent: it polls for changes and lists
// seldom, because a full list costs hundreds of kilobytes. Without
// Options.Processes the number of backend servers in the snapshot sets the rate.
func NewPoller(store dialect.Store, snap *config.Snapshot, o Options) *Provider {
	if o.Processes == nil {
		o.Processes = func() int { return len(snap.View().BackendServers) }
	}
	o = o.withDefaults(DefaultPollerList)
	return &Provider{name: "poller", followers: []*follower{
		newFollower(store, snap, config.RecordPrefix, false, o),
		newFollower(store, snap, config.QuarantinePrefix, false, o),
	}}
}

// String names the service in the supervisor's log.
func (p *Provider) String() string { return "config " + p.name }

// Serve follows the store until the context ends.
func (p *Provider) Serve(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, f := range p.followers {
		g.Go(func() error { return f.serve(ctx) })
	}
	if err := g.Wait(); err != nil {
		return eris.Wrapf(err, "config %s", p.name)
	}
	return nil
}

// Staleness returns the time since the last successful contact with the store; for a
// store that was never reached, the time since the provider was made. While
// nothing changes, it rises up to the idle limit of a watch.
func (p *Provider) Staleness() time.Duration {
	var age time.Duration
	for _, f := range p.followers {
		age = max(age, f.age())
	}
	return age
}

// Listed tells whether full lists of all records have been adopted.
func (p *Provider) Listed() bool {
	for _, f := range p.followers {
		if !f.listed.Load() {
			return false
		}
	}
	return true
}
