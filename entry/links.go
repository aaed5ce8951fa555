package entry

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"hyssoploom/config"
	"hyssoploom/control"
	"hyssoploom/dialect"
	"hyssoploom/ledger"
	"hyssoploom/link"
	"hyssoploom/route"
	"hyssoploom/supervise"
)

// resumeTimeout is how long a stream waits for a lost link to reconnect. After
// that, another backend server continues the answer. It must be below the 5 s for
// which agents keep the streams of a lost link. 1.5 s is too short for a link that
// breaks several times in a row on a busy machine. A refused connection shows that
// the agent's process is gone and ends the wait immediately.
const resumeTimeout = 4 * time.Second

const (
	// vmPrefix begins the names of links that were opened from the VM list.
	vmPrefix = "vm:"
	// unnamedLinkGrace is how long such a link is kept without a record of its backend
	// server, after its start: the records of a process arrive in several messages.
	unnamedLinkGrace = 5 * time.Second
)

// peer is the link to one agent.
type peer struct {
	name    string // backend server
	addr    string
	client  *link.Client
	service suture.ServiceToken
	opened  time.Time
	// openStreams is the number of open streams of this entry, which the agent's last load
	// report may not include yet.
	openStreams atomic.Int64
}

// heldRow identifies a charge row that an agent holds until this entry reports it
// durable.
type heldRow struct {
	agent string // backend server
	ref   ledger.RowRef
}

// links maintains the links to the agents that this entry uses.
type links struct {
	entry *Entry
	tree  *suture.Supervisor

	mu    sync.Mutex
	peers map[string]*peer // by backend server, or "vm:" and the name of the VM
	vms   []dialect.VM
	// held lists, for each charge, the rows that agents hold.
	held map[ledger.RowKey][]heldRow
}

func newLinks(e *Entry) *links {
	return &links{
		entry: e,
		tree:  supervise.New("links", e.log),
		peers: make(map[string]*peer),
		held:  make(map[ledger.RowKey][]heldRow),
	}
}

// String returns the name of the service in the supervisor tree.
func (l *links) String() string { return "links" }

// Serve adjusts the links to changes of the records and the VM list, and sends new
// records to the agents, until ctx ends.
func (l *links) Serve(ctx context.Context) error {
	treeDone := l.tree.ServeBackground(ctx)
	ticker := time.NewTicker(linksInterval)
	defer ticker.Stop()
	for {
		changed := l.entry.snapshot.Changed()
		l.reconcile()
		l.pushRecords()
		l.entry.health.Reconcile()
		for _, model := range l.entry.snapshot.View().Models {
			l.entry.forgetInactiveSessions(model)
		}
		select {
		case <-ctx.Done():
			<-treeDone
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
		}
	}
}

// reconcile closes the links that are no longer wanted and opens those that are
// missing.
func (l *links) reconcile() {
	wanted := l.wanted()
	l.close(l.unwanted(wanted))
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, addr := range wanted {
		if _, ok := l.peers[name]; !ok {
			l.peers[name] = l.connect(name, addr)
		}
	}
}

// unwanted removes the peers that are not wanted and returns those whose links have
// to be closed. A link that was opened from the VM list is kept under the name of
// its backend server, because a second connection to the agent would break it.
func (l *links) unwanted(wanted map[string]string) []*peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*peer
	for name, p := range l.peers {
		if wanted[name] == p.addr {
			continue
		}
		agent := p.client.Status().PeerHello.Name
		if agent == "" {
			// The handshake is not complete; the records name the agent by its address.
			agent = nameOf(wanted, p.addr)
		}
		if isUnnamed(name) && nameOf(wanted, p.addr) == "" && time.Since(p.opened) < unnamedLinkGrace {
			continue // the record of its backend server may be in a later message
		}
		delete(l.peers, name)
		if _, known := l.peers[agent]; known || p.name == agent || wanted[agent] != p.addr {
			out = append(out, p)
			continue
		}
		p.client.SetExpectedPeer(agent)
		l.peers[agent] = &peer{name: agent, addr: p.addr, client: p.client, service: p.service, opened: p.opened}
	}
	return out
}

// nameOf returns the backend server whose agent is wanted at an address, or "".
func nameOf(wanted map[string]string, addr string) string {
	for name, a := range wanted {
		if a == addr {
			return name
		}
	}
	return ""
}

// isUnnamed reports whether a link was opened from the VM list, which does not contain
// the names of backend servers.
func isUnnamed(name string) bool { return strings.HasPrefix(name, vmPrefix) }

// close closes links and waits until they have ended, so that a new link to the
// same agent does not conflict with the old one.
func (l *links) close(peers []*peer) {
	var wg sync.WaitGroup
	for _, p := range peers {
		wg.Go(func() {
			if err := l.tree.RemoveAndWait(p.service, closeTimeout); err != nil {
				l.entry.log.Warn("A link was not closed in time.", "peer", p.name, "error", err.Error())
			}
		})
	}
	wg.Wait()
}

// closeTimeout limits the wait for a link to end.
const closeTimeout = time.Second

// wanted returns the agent addresses to link to, by backend server. If there are no
// records, for example after a start during a store outage, it returns the agents in
// the VM list, which can send the records.
func (l *links) wanted() map[string]string {
	view := l.entry.snapshot.View()
	out := make(map[string]string)
	if len(view.BackendServers) == 0 {
		for _, vm := range l.vmList() {
			if vm.Role == "backend" {
				out[vmPrefix+vm.Name] = vm.Addr
			}
		}
		return out
	}
	// A backend server that is out keeps its link, so that answers in progress can
	// complete.
	for name, server := range view.BackendServers {
		out[name] = server.AgentAddr
	}
	if len(out) > route.DefaultSubsetLimits().FullMesh {
		return l.subset(view, out)
	}
	return out
}

// subset selects the agents to link to in a fleet that is too large for a full mesh.
func (l *links) subset(view *config.View, all map[string]string) map[string]string {
	agents := make([]route.AgentRef, 0, len(all))
	for name := range all {
		server := view.BackendServers[name]
		ref := route.AgentRef{Name: name, DataCentre: server.DataCentre}
		if server.Service != "" {
			ref.Serves = append(ref.Serves, server.Service)
		}
		if centre, ok := view.DataCentres[server.DataCentre]; ok {
			ref.Region = centre.Region
		}
		for _, p := range server.Serves {
			ref.Serves = append(ref.Serves, p.Model+"@"+p.Version)
		}
		agents = append(agents, ref)
	}
	e := l.entry
	out := make(map[string]string)
	for _, name := range route.Subset(e.settings.Name, e.settings.DataCentre, e.region(), agents, route.DefaultSubsetLimits()) {
		out[name] = all[name]
	}
	return out
}

// connect starts a link to an agent. The caller holds l.mu.
func (l *links) connect(name, addr string) *peer {
	e := l.entry
	p := &peer{name: name, addr: addr, opened: time.Now()}
	expect := name
	if isUnnamed(name) {
		expect = ""
	}
	p.client = link.NewClient(link.ClientConfig{
		Addr:          addr,
		ExpectedPeer:  expect,
		FleetKey:      []byte(e.settings.FleetKey),
		ResumeTimeout: resumeTimeout,
		Hello:         link.Hello{Name: e.settings.Name, BootID: e.bootID, DataCentre: e.settings.DataCentre},
		Heartbeat: func() link.Heartbeat {
			return link.Heartbeat{
				Clock:    e.clock(),
				Revision: e.snapshot.Revision(),
				Digest:   e.snapshot.Digest(),
				Draining: e.draining.Load(),
			}
		},
		OnHello:     func(link.Hello) { l.sendInitialMessages(p) },
		OnHeartbeat: func(hb link.Heartbeat) { l.sendMissingRecords(p, hb.Revision, hb.Digest) },
		OnControl:   func(c link.Control) { l.onControl(p, c) },
		Logger:      e.log.Base(),
	})
	p.service = l.tree.Add(p.client)
	return p
}

// sendInitialMessages sends a newly connected peer the evidence and quarantines of
// this process.
func (l *links) sendInitialMessages(p *peer) {
	for _, c := range l.entry.health.InitialMessages() {
		l.sendTo(p, c)
	}
}

// sendMissingRecords sends a peer the records that it lacks according to the given
// revision and digest.
func (l *links) sendMissingRecords(p *peer, revision, digest uint64) {
	for _, c := range control.SplitRecords(control.MissingRecords(l.entry.snapshot, revision, digest)) {
		l.sendTo(p, c)
	}
}

// pushRecords sends new records to the agents immediately instead of on their next
// heartbeat.
func (l *links) pushRecords() {
	for _, p := range l.all() {
		status := p.client.Status()
		if status.Alive && status.Revision < l.entry.snapshot.Revision() {
			l.sendMissingRecords(p, status.Revision, status.Digest)
		}
	}
}

func (l *links) onControl(p *peer, c link.Control) {
	if err := l.handleControl(p, c); err != nil {
		l.entry.log.Warn("Dropped a control message.", "peer", p.name, "error", err.Error())
	}
}

// handleControl processes a control message from an agent.
func (l *links) handleControl(p *peer, c link.Control) error {
	handled, err := control.HandleRecords(l.entry.snapshot, c, func(out link.Control) error {
		l.sendTo(p, out)
		return nil
	})
	if handled || err != nil {
		return err
	}
	return l.entry.health.HandleOrReject(c)
}

func (l *links) sendTo(p *peer, c link.Control) {
	if err := p.client.Send(c); err != nil {
		l.entry.log.Debug("Control message was not sent.", "peer", p.name, "error", err.Error())
	}
}

// sendToServer sends a message to the agent of a backend server. It drops the message
// if there is no link to that agent.
func (l *links) sendToServer(name string, c link.Control) {
	l.mu.Lock()
	p := l.peers[name]
	l.mu.Unlock()
	if p != nil {
		l.sendTo(p, c)
	}
}

func (l *links) broadcast(c link.Control) {
	for _, p := range l.all() {
		if p.client.Status().Alive {
			l.sendTo(p, c)
		}
	}
}

// addHeldRow registers a row that the peer's agent holds until it is durable.
func (l *links) addHeldRow(p *peer, row ledger.Row) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := row.Key()
	l.held[key] = append(l.held[key], heldRow{p.name, row.Ref()})
}

// reportDurable tells the agents which rows they no longer need to hold. For each
// charge, the store has the largest of the rows that this entry received.
func (l *links) reportDurable(keys []ledger.RowKey) {
	byAgent := make(map[string][]ledger.RowRef)
	l.mu.Lock()
	for _, key := range keys {
		for _, held := range l.held[key] {
			byAgent[held.agent] = append(byAgent[held.agent], held.ref)
		}
		delete(l.held, key)
	}
	l.mu.Unlock()
	for name, refs := range byAgent {
		l.sendToServer(name, control.Encode(control.KindDurableRows, control.DurableRows{Rows: refs}))
	}
}

func (l *links) setVMs(vms []dialect.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = vms
}

func (l *links) vmList() []dialect.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.vms)
}

func (l *links) all() []*peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Values(l.peers))
}
