package embedded

import (
	"cmp"
	"context"
	"errors"
	"net"
	"strings"
	"syscall"
	"time"

	"hyssoploom/agent"
	"hyssoploom/config"
	"hyssoploom/dialect"
	"hyssoploom/entry"
	"hyssoploom/settings"
	"hyssoploom/standin"
)

// AddBackend starts a backend server and its agent, adds their VM to the VM list
// and writes the operator record of the backend server.
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
	f.setVM(dialect.VM{Name: "vm-" + spec.Name, DataCentre: spec.DataCentre, Role: "backend", Addr: b.addr})
	return f.Put(ctx, config.KindBackendServer, spec.Name, b.Record(config.BackendServerIn))
}

// Record returns the operator record of the backend server with a given state.
func (b *Backend) Record(state config.BackendServerState) *config.BackendServer {
	return &config.BackendServer{
		Name: b.Spec.Name, VM: "vm-" + b.Spec.Name, DataCentre: b.Spec.DataCentre, AgentAddr: b.addr, State: state,
		Serves: b.Spec.Serves, Service: b.Spec.Service,
		ColdLimit: b.Spec.ColdLimit, WarmLimit: b.Spec.WarmLimit, ChecksFencing: b.Spec.Engine.ChecksFencing,
	}
}

// StartAgent starts the agent of a backend server. A restarted agent gets its
// previous address.
func (f *Fleet) StartAgent(ctx context.Context, name string) error {
	b := f.Backends[name]
	listen := b.addr
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	listener, err := listenRetry(ctx, listen)
	if err != nil {
		return err
	}
	b.addr = listener.Addr().String()
	deps := agent.Deps{
		Store:   f.storeFor(name),
		VMs:     dialect.NewHTTPVMList(f.vmURL),
		Log:     f.log.WithComponent("agent " + name),
		Tracing: f.spec.Tracing,
	}
	if b.Engine != nil {
		deps.Engine = dialect.NewHTTPEngine(b.Server.URL(), nil)
		if f.spec.Engine != nil {
			deps.Engine = f.spec.Engine(name, deps.Engine)
		}
	} else {
		deps.Service = dialect.NewHTTPService(b.Server.URL(), nil)
	}
	b.Agent = agent.New(&settings.Agent{
		Name: name, VM: "vm-" + name, DataCentre: b.Spec.DataCentre, Listen: b.addr,
		FleetKey: FleetKey, DrainGrace: drainGrace, QueueLimit: 64,
	}, deps)
	b.run = f.startDaemon(ctx, func(ctx context.Context) error { return b.Agent.ServeOn(ctx, listener, nil) })
	return nil
}

// listenRetry listens on addr and retries while it is in use: the port of a
// stopped daemon may be taken for a moment by an outgoing connection of this
// machine.
func listenRetry(ctx context.Context, addr string) (net.Listener, error) {
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
	f.setVM(dialect.VM{Name: "vm-" + spec.Name, DataCentre: spec.DataCentre, Role: "entry"})
	return f.StartEntry(ctx, spec.Name)
}

// StartEntry starts an entry. A restarted entry gets its previous address.
func (f *Fleet) StartEntry(ctx context.Context, name string) error {
	e := f.Entries[name]
	listen := strings.TrimPrefix(e.URL, "http://")
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	listener, err := listenRetry(ctx, listen)
	if err != nil {
		return err
	}
	e.URL = "http://" + listener.Addr().String()
	rater, err := dialect.NewHTTPRater(f.raterURL, 0)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	e.Entry = entry.New(&settings.Entry{
		Name: name, VM: "vm-" + name, DataCentre: e.Spec.DataCentre, Listen: e.URL,
		FleetKey: FleetKey, DrainGrace: drainGrace,
		RequestTimeout: config.Duration(cmp.Or(f.spec.RequestTimeout, defaultRequestTimeout)), MaxBodyBytes: 512 << 10,
	}, entry.Deps{
		Store: f.storeFor(name), VMs: dialect.NewHTTPVMList(f.vmURL), Rater: rater,
		Log: f.log.WithComponent("entry " + name), Tracing: f.spec.Tracing, Seed: f.spec.Seed,
	})
	e.run = f.startDaemon(ctx, func(ctx context.Context) error { return e.Entry.ServeOn(ctx, listener) })
	return nil
}

func (f *Fleet) startDaemon(ctx context.Context, run func(context.Context) error) *daemon {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	p := &daemon{cancel: cancel, done: make(chan error, 1)}
	go func() { p.done <- run(ctx) }()
	return p
}

// kill stops the daemon without draining and returns its error. It may be called
// more than once.
func (p *daemon) kill() error {
	p.cancel()
	err := <-p.done
	p.done <- err
	return err
}

// KillAgent stops an agent without draining, like a crash.
func (f *Fleet) KillAgent(name string) error { return f.Backends[name].run.kill() }

// KillEntry stops an entry without draining, like a crash.
func (f *Fleet) KillEntry(name string) error { return f.Entries[name].run.kill() }

// StopAgent drains an agent and stops it.
func (f *Fleet) StopAgent(ctx context.Context, name string) error {
	b := f.Backends[name]
	return errors.Join(b.Agent.Drain(ctx), b.run.kill())
}

// StopEntry drains an entry and stops it.
func (f *Fleet) StopEntry(ctx context.Context, name string) error {
	e := f.Entries[name]
	return errors.Join(e.Entry.Drain(ctx), e.run.kill())
}

// running reports whether the daemon is still running.
func (p *daemon) running() bool { return len(p.done) == 0 }
