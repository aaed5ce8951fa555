// Package embedded runs a whole fleet with its stand-ins in one process, on
// loopback addresses, for the demo and for tests.
package embedded

import (
	"context"
	"embed"
	"errors"
	"io"
	"time"

	"hyssoploom/agent"
	"hyssoploom/config"
	"hyssoploom/dialect"
	"hyssoploom/entry"
	"hyssoploom/standin"
	"hyssoploom/telemetry"
)

//go:embed records/*.toml
var recordFiles embed.FS

// FleetKey authenticates the embedded processes to each other.
const FleetKey = "embedded-fleet-key"

// drainGrace is short, because embedded work is short.
const drainGrace = config.Duration(4 * time.Second)

const defaultRequestTimeout = 20 * time.Second

// BackendSpec describes a backend server to start.
type BackendSpec struct {
	Name       string
	DataCentre string
	Serves     []config.Placement // for an engine
	Service    string             // for a booking runner
	Engine     standin.EngineConfig
	ColdLimit  int
	WarmLimit  int
}

// EntrySpec describes an entry to start.
type EntrySpec struct {
	Name       string
	DataCentre string
}

// Spec describes a fleet.
type Spec struct {
	Backends []BackendSpec
	Entries  []EntrySpec
	// Logs receives the logs of all processes; none when nil.
	Logs io.Writer
	// Level is the log level; info when empty.
	Level string
	// Seed makes random choices repeatable.
	Seed uint64
	// Tracing is shared by all processes; none when nil.
	Tracing *telemetry.Tracing
	// Store returns the store as one process sees it; the stand-in over HTTP
	// when nil.
	Store func(process string, store dialect.Store) dialect.Store
	// Engine returns the engine as its agent sees it; the stand-in over HTTP
	// when nil.
	Engine func(backend string, engine dialect.Engine) dialect.Engine
	// RequestTimeout bounds one request; 20 s when 0.
	RequestTimeout time.Duration
	// Judge replaces the rater's judgement.
	Judge standin.Judge
}

// Backend is a running backend server with its agent.
type Backend struct {
	Spec    BackendSpec
	Engine  *standin.Engine
	Booking *standin.BookingRunner
	Server  *standin.LoopbackServer
	Agent   *agent.Agent
	addr    string
	run     *daemon
}

// Entry is a running entry.
type Entry struct {
	Spec  EntrySpec
	Entry *entry.Entry
	URL   string
	run   *daemon
}

// Fleet is a running fleet.
type Fleet struct {
	Store    *standin.Store
	VMs      *standin.VMList
	Rater    *standin.Rater
	Backends map[string]*Backend
	Entries  map[string]*Entry

	spec     Spec
	log      *telemetry.Logger
	storeURL string
	vmURL    string
	raterURL string
	servers  []*standin.LoopbackServer
	vms      map[string]dialect.VM
}

// URLs are the addresses of the platform's stand-ins.
type URLs struct{ Store, VMList, Rater string }

// URLs returns the addresses of the platform's stand-ins.
func (f *Fleet) URLs() URLs { return URLs{Store: f.storeURL, VMList: f.vmURL, Rater: f.raterURL} }

// daemon is a daemon that runs in this daemon.
type daemon struct {
	cancel context.CancelFunc
	done   chan error
}

// Start starts the stand-ins, writes the records, and starts all daemons.
func Start(ctx context.Context, spec Spec) (*Fleet, error) {
	logs := spec.Logs
	if logs == nil {
		logs = io.Discard
	}
	if spec.Tracing == nil {
		spec.Tracing = telemetry.NoTracing()
	}
	f := &Fleet{
		Store: standin.NewStore(), VMs: standin.NewVMList(),
		Rater:    standin.NewRater(standin.RaterOptions{Judge: spec.Judge, Seed: spec.Seed}),
		Backends: make(map[string]*Backend), Entries: make(map[string]*Entry),
		spec: spec, log: telemetry.NewLogger(logs, spec.Level, "embedded"), vms: make(map[string]dialect.VM),
	}
	if err := f.startPlatform(); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	if err := f.startDaemons(ctx); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (f *Fleet) startPlatform() error {
	for _, s := range []struct {
		url    *string
		server func() (*standin.LoopbackServer, error)
	}{
		{&f.storeURL, func() (*standin.LoopbackServer, error) {
			return standin.ListenLoopback("127.0.0.1:0", f.Store.Handler())
		}},
		{&f.vmURL, func() (*standin.LoopbackServer, error) { return standin.ListenLoopback("127.0.0.1:0", f.VMs.Handler()) }},
		{&f.raterURL, func() (*standin.LoopbackServer, error) {
			return standin.ListenLoopback("127.0.0.1:0", f.Rater.Handler())
		}},
	} {
		server, err := s.server()
		if err != nil {
			return err
		}
		f.servers = append(f.servers, server)
		*s.url = server.URL()
	}
	return nil
}

func (f *Fleet) startDaemons(ctx context.Context) error {
	decls, err := Declarations()
	if err != nil {
		return err
	}
	for _, d := range decls {
		if err := f.Put(ctx, d.Kind, d.Name, d.Spec); err != nil {
			return err
		}
	}
	for _, spec := range f.spec.Backends {
		if err := f.AddBackend(ctx, spec); err != nil {
			return err
		}
	}
	for _, spec := range f.spec.Entries {
		if err := f.addEntry(ctx, spec); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) storeFor(process string) dialect.Store {
	var store dialect.Store = dialect.NewHTTPStore(f.storeURL)
	if f.spec.Store != nil {
		return f.spec.Store(process, store)
	}
	return store
}

func (f *Fleet) setVM(vm dialect.VM) {
	f.vms[vm.Name] = vm
	list := make([]dialect.VM, 0, len(f.vms))
	for _, vm := range f.vms {
		list = append(list, vm)
	}
	f.VMs.Set(list...)
}

// SetLeaving marks the VM of a backend server as leaving in the VM list.
func (f *Fleet) SetLeaving(name string, leaving bool) {
	vm := f.vms["vm-"+name]
	vm.Leaving = leaving
	f.setVM(vm)
}

// Close stops everything at once.
func (f *Fleet) Close() error {
	var errs []error
	for _, e := range f.Entries {
		if e.run != nil {
			errs = append(errs, e.run.kill())
		}
	}
	for _, b := range f.Backends {
		if b.run != nil {
			errs = append(errs, b.run.kill())
		}
		errs = append(errs, b.Server.Close())
	}
	for _, s := range f.servers {
		errs = append(errs, s.Close())
	}
	return errors.Join(errs...)
}
