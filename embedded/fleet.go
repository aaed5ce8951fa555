// Package embedded runs a whole fleet with its stand-ins in one process, on
// loopback addresses, for the demo and for tests.
package embedded

import (
	"cmp"
	"context"
	"crypto/sha256"
	"embed"
	"encoding/hex"
	"errors"
	"io"
	"io/fs"
	"net"
	"strings"
	"syscall"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"hyssoploom/agent"
	"hyssoploom/config"
	"hyssoploom/entry"
	"hyssoploom/platform"
	"hyssoploom/settings"
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
	Store func(process string, store platform.Store) platform.Store
	// Engine returns the engine as its agent sees it; the stand-in over HTTP
	// when nil.
	Engine func(backend string, engine platform.Engine) platform.Engine
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
	run     *process
}

// Entry is a running entry.
type Entry struct {
	Spec  EntrySpec
	Entry *entry.Entry
	URL   string
	run   *process
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
	vms      map[string]platform.VM
}

// URLs are the addresses of the platform's stand-ins.
type URLs struct{ Store, VMList, Rater string }

// URLs returns the addresses of the platform's stand-ins.
func (f *Fleet) URLs() URLs { return URLs{Store: f.storeURL, VMList: f.vmURL, Rater: f.raterURL} }

// process is a daemon that runs in this process.
type process struct {
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
		spec: spec, log: telemetry.NewLogger(logs, spec.Level, "embedded"), vms: make(map[string]platform.VM),
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

// Declarations returns the records of the embedded fleet. A key hash that is
// written "@key" stands for the digest of the key.
func Declarations() ([]config.Declaration, error) {
	files, err := fs.Sub(recordFiles, "records")
	if err != nil {
		return nil, err
	}
	decls, issues := config.LoadFS(hashedKeys{files})
	for _, issue := range issues {
		err = errors.Join(err, issue)
	}
	return decls, err
}

// Hash returns the form of an API key that records hold.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Put writes one operator record over whatever the store has.
func (f *Fleet) Put(ctx context.Context, kind config.Kind, name string, spec any) error {
	return PutRecord(ctx, f.Store, kind, name, spec)
}

// PutRecord writes one operator record over whatever the store has.
func PutRecord(ctx context.Context, store platform.Store, kind config.Kind, name string, spec any) error {
	key := config.Key(kind, name)
	raw, err := config.Encode(config.Envelope{
		SchemaVersion: config.LatestSchema(kind), Kind: kind, Name: name,
		Writer: "embedded", ChangeID: ulid.Make().String(), Spec: spec,
	})
	if err != nil {
		return err
	}
	current, err := store.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	_, err = store.Swap(ctx, platform.Write{Key: key, Value: raw, Expect: current.Revision})
	return err
}

// AddBackend starts a backend server with its agent and writes its record.
func (f *Fleet) AddBackend(ctx context.Context, spec BackendSpec) error {
	b := &Backend{Spec: spec}
	var err error
	if spec.Service != "" {
		b.Booking = standin.NewBookingRunner(standin.BookingFaults{})
		b.Server, err = standin.ListenLoopback("127.0.0.1:0", b.Booking.Handler())
	} else {
		b.Engine = standin.NewEngine(spec.Engine)
		b.Server, err = standin.ListenLoopback("127.0.0.1:0", b.Engine.Handler())
	}
	if err != nil {
		return err
	}
	f.Backends[spec.Name] = b
	if err := f.StartAgent(ctx, spec.Name); err != nil {
		return err
	}
	f.setVM(platform.VM{Name: "vm-" + spec.Name, DataCentre: spec.DataCentre, Role: "backend", Addr: b.addr})
	return f.Put(ctx, config.KindBackendServer, spec.Name, b.Record(config.BackendServerIn))
}

// Record returns the operator record of the backend server.
func (b *Backend) Record(state config.BackendServerState) *config.BackendServer {
	return &config.BackendServer{
		Name: b.Spec.Name, VM: "vm-" + b.Spec.Name, DataCentre: b.Spec.DataCentre, AgentAddr: b.addr, State: state,
		Serves: b.Spec.Serves, Service: b.Spec.Service,
		ColdLimit: b.Spec.ColdLimit, WarmLimit: b.Spec.WarmLimit, ChecksFencing: b.Spec.Engine.ChecksFencing,
	}
}

// StartAgent starts the agent of a backend server, at the address that it had
// before if it ran already.
func (f *Fleet) StartAgent(ctx context.Context, name string) error {
	b := f.Backends[name]
	listen := b.addr
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	listener, err := listenAgain(ctx, listen)
	if err != nil {
		return err
	}
	b.addr = listener.Addr().String()
	deps := agent.Deps{
		Store:   f.storeOf(name),
		VMs:     platform.NewHTTPVMList(f.vmURL),
		Log:     f.log.Part("agent " + name),
		Tracing: f.spec.Tracing,
	}
	if b.Engine != nil {
		deps.Engine = platform.NewHTTPEngine(b.Server.URL(), nil)
		if f.spec.Engine != nil {
			deps.Engine = f.spec.Engine(name, deps.Engine)
		}
	} else {
		deps.Service = platform.NewHTTPService(b.Server.URL(), nil)
	}
	b.Agent = agent.New(&settings.Agent{
		Name: name, VM: "vm-" + name, DataCentre: b.Spec.DataCentre, Listen: b.addr,
		FleetKey: FleetKey, DrainGrace: drainGrace, QueueLimit: 64,
	}, deps)
	b.run = f.serve(ctx, func(ctx context.Context) error { return b.Agent.ServeOn(ctx, listener, nil) })
	return nil
}

// listenAgain listens on the address that a daemon had before. Meanwhile an
// outgoing connection of this machine may use its port for a moment.
func listenAgain(ctx context.Context, addr string) (net.Listener, error) {
	for {
		listener, err := net.Listen("tcp", addr)
		if !errors.Is(err, syscall.EADDRINUSE) {
			return listener, err
		}
		select {
		case <-ctx.Done():
			return nil, errors.Join(ctx.Err(), err)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (f *Fleet) addEntry(ctx context.Context, spec EntrySpec) error {
	f.Entries[spec.Name] = &Entry{Spec: spec}
	f.setVM(platform.VM{Name: "vm-" + spec.Name, DataCentre: spec.DataCentre, Role: "entry"})
	return f.StartEntry(ctx, spec.Name)
}

// StartEntry starts an entry, at the address that it had before if it ran
// already.
func (f *Fleet) StartEntry(ctx context.Context, name string) error {
	e := f.Entries[name]
	listen := strings.TrimPrefix(e.URL, "http://")
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	listener, err := listenAgain(ctx, listen)
	if err != nil {
		return err
	}
	e.URL = "http://" + listener.Addr().String()
	rater, err := platform.NewHTTPRater(f.raterURL, 0)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	e.Entry = entry.New(&settings.Entry{
		Name: name, VM: "vm-" + name, DataCentre: e.Spec.DataCentre, Listen: e.URL,
		FleetKey: FleetKey, DrainGrace: drainGrace,
		RequestTimeout: config.Duration(cmp.Or(f.spec.RequestTimeout, defaultRequestTimeout)), MaxBodyBytes: 512 << 10,
	}, entry.Deps{
		Store: f.storeOf(name), VMs: platform.NewHTTPVMList(f.vmURL), Rater: rater,
		Log: f.log.Part("entry " + name), Tracing: f.spec.Tracing, Seed: f.spec.Seed,
	})
	e.run = f.serve(ctx, func(ctx context.Context) error { return e.Entry.ServeOn(ctx, listener) })
	return nil
}

func (f *Fleet) storeOf(process string) platform.Store {
	var store platform.Store = platform.NewHTTPStore(f.storeURL)
	if f.spec.Store != nil {
		return f.spec.Store(process, store)
	}
	return store
}

func (f *Fleet) serve(ctx context.Context, run func(context.Context) error) *process {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	p := &process{cancel: cancel, done: make(chan error, 1)}
	go func() { p.done <- run(ctx) }()
	return p
}

// kill stops the daemon without a drain.
func (p *process) kill() error {
	p.cancel()
	err := <-p.done
	p.done <- err
	return err
}

// KillAgent stops an agent as if its process had died.
func (f *Fleet) KillAgent(name string) error { return f.Backends[name].run.kill() }

// KillEntry stops an entry as if its process had died.
func (f *Fleet) KillEntry(name string) error { return f.Entries[name].run.kill() }

// StopAgent stops an agent gracefully.
func (f *Fleet) StopAgent(ctx context.Context, name string) error {
	b := f.Backends[name]
	return errors.Join(b.Agent.Drain(ctx), b.run.kill())
}

// StopEntry stops an entry gracefully.
func (f *Fleet) StopEntry(ctx context.Context, name string) error {
	e := f.Entries[name]
	return errors.Join(e.Entry.Drain(ctx), e.run.kill())
}

func (f *Fleet) setVM(vm platform.VM) {
	f.vms[vm.Name] = vm
	list := make([]platform.VM, 0, len(f.vms))
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

// WaitReady waits until every entry has a link to every agent and every engine
// has loaded its versions.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for {
		if f.ready() {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "fleet is not ready")
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (f *Fleet) ready() bool {
	for _, e := range f.Entries {
		if !e.Entry.Linked(len(f.Backends)) {
			return false
		}
		for _, b := range f.Backends {
			for _, p := range b.Spec.Serves {
				if !e.Entry.Serving(p.Model, p.Version) {
					return false
				}
			}
		}
	}
	return true
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

// InForce reports whether every running daemon has the newest records.
func (f *Fleet) InForce() bool {
	newest := uint64(0)
	for _, prefix := range config.Prefixes() {
		kvs, _, err := f.Store.List(context.Background(), prefix)
		if err != nil {
			return false
		}
		for _, kv := range kvs {
			newest = max(newest, kv.Revision)
		}
	}
	for _, e := range f.Entries {
		if e.run.running() && e.Entry.Revision() < newest {
			return false
		}
	}
	for _, b := range f.Backends {
		if b.run.running() && b.Agent.Revision() < newest {
			return false
		}
	}
	return true
}

// running reports whether the daemon has not ended.
func (p *process) running() bool { return len(p.done) == 0 }
