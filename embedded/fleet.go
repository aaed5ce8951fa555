// Package embedded runs a complete fleet, with stand-ins for the platform and the
// backend servers, in one process on loopback addresses. The demo and tests use
// it.
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

// FleetKey is the shared key with which the embedded daemons authenticate each
// other.
const FleetKey = "embedded-fleet-key"

// drainGrace can be short because requests to stand-ins are short.
const drainGrace = config.Duration(4 * time.Second)

const defaultRequestTimeout = 20 * time.Second

// BackendSpec describes a backend server: a booking runner if Service is set, an
// engine otherwise.
type BackendSpec struct {
	Name       string
	DataCentre string
	Serves     []config.Placement // model versions of an engine
	Service    string             // service name of a booking runner
	Engine     standin.EngineConfig
	ColdLimit  int
	WarmLimit  int
}

// EntrySpec describes an entry.
type EntrySpec struct {
	Name       string
	DataCentre string
}

// Spec describes a fleet and its options.
type Spec struct {
	Backends []BackendSpec
	Entries  []EntrySpec
	// Logs receives the logs of all daemons; they are discarded if nil.
	Logs io.Writer
	// Level is the log level; info if empty.
	Level string
	// Seed seeds the random choices of the entries and the rater.
	Seed uint64
	// Tracing is shared by all daemons; tracing is off if nil.
	Tracing *telemetry.Tracing
	// Store wraps the store client of a daemon, for example to inject faults. If
	// nil, the client is used as it is.
	Store func(process string, store dialect.Store) dialect.Store
	// Engine wraps the engine client of an agent. If nil, the client is used as it
	// is.
	Engine func(backend string, engine dialect.Engine) dialect.Engine
	// RequestTimeout is the timeout of a request at an entry; 20 s if 0.
	RequestTimeout time.Duration
	// Judge decides how the rater rates answers; the rater's default if nil.
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

// Fleet is a running fleet with the stand-ins that it uses.
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

// URLs holds the base URLs of the platform's stand-ins.
type URLs struct{ Store, VMList, Rater string }

// URLs returns the base URLs of the platform's stand-ins.
func (f *Fleet) URLs() URLs { return URLs{Store: f.storeURL, VMList: f.vmURL, Rater: f.raterURL} }

// daemon is an agent or entry that runs in this process.
type daemon struct {
	cancel context.CancelFunc
	done   chan error
}

// Start starts the stand-ins, writes the operator records to the store, and
// starts all daemons.
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

// Close stops all daemons without draining, and all stand-ins.
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
