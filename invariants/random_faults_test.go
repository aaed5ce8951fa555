package invariants

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"hyssoploom/config"
	"hyssoploom/dialect"
	"hyssoploom/embedded"
	"hyssoploom/standin"
)

// randomFaults sends requests while it injects faults that are selected by a seeded
// generator.
type randomFaults struct {
	*fleet
	rng     *rand.Rand
	running sync.WaitGroup
	mu      sync.Mutex
	sent    map[string]sentRequest // by request id
}

type sentRequest struct {
	request
	key    string // idempotency key of a booking
	prompt string // prompt of a chat
	at     time.Time
	response
}

// startRandomFaults starts a fleet with two data centres, in both of which every model
// runs.
func startRandomFaults(t *testing.T) *randomFaults {
	t.Helper()
	spec := embedded.DefaultSpec()
	spec.RequestTimeout = 1200 * time.Millisecond
	for i := range spec.Backends {
		b := &spec.Backends[i]
		if strings.HasPrefix(b.Name, "small") {
			b.Serves = append(b.Serves, config.Placement{Model: "small", Version: "2"})
			b.Engine.Loaded = append(b.Engine.Loaded, dialect.ModelRef{Model: "small", Version: "2"})
		}
	}
	s := &randomFaults{fleet: startFleet(t, spec), rng: rand.New(rand.NewPCG(7, 0)), sent: make(map[string]sentRequest)}
	s.putAndWait(config.KindService, "booking", &config.Service{Price: 500, Timeout: config.Duration(1200 * time.Millisecond)})
	return s
}

// putWithRetry writes a record repeatedly until the store confirms it.
func (s *randomFaults) putWithRetry(kind config.Kind, name string, spec any) {
	s.t.Helper()
	eventually(s.t, "the store takes the record", func() bool { return s.Put(s.t.Context(), kind, name, spec) == nil })
}

func (s *randomFaults) pickBackend(match func(*embedded.Backend) bool) *embedded.Backend {
	var names []string
	for name, b := range s.Backends {
		if match(b) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return s.Backends[names[s.rng.IntN(len(names))]]
}

// injectEngineFault injects a fault into one engine or booking runner and returns a
// function that removes it.
func (s *randomFaults) injectEngineFault() func() {
	if s.rng.IntN(4) == 0 {
		runner := s.pickBackend(func(b *embedded.Backend) bool { return b.Booking != nil }).Booking
		faults := []standin.BookingFaults{{CloseAfterRun: true}, {Refuse: true}, {Delay: 400 * time.Millisecond}}
		runner.SetFaults(faults[s.rng.IntN(len(faults))])
		return func() { runner.SetFaults(standin.BookingFaults{}) }
	}
	b := s.pickBackend(func(b *embedded.Backend) bool { return b.Engine != nil })
	faults := []standin.EngineFaults{{Refuse: true}, {Hang: true}, {HangAfter: 4}, {TruncateAfter: 1}, {TruncateAfter: 6}}
	switch n := s.rng.IntN(len(faults) + 2); n {
	case len(faults):
		b.Engine.Restart()
		return func() {}
	case len(faults) + 1:
		s.setRefusing(b, true)
		return func() { s.setRefusing(b, false) }
	default:
		b.Engine.SetFaults(faults[n])
		return func() { b.Engine.SetFaults(standin.EngineFaults{}) }
	}
}

// setRefusing closes or opens the listen address of a backend server.
func (s *randomFaults) setRefusing(b *embedded.Backend, refuse bool) {
	s.t.Helper()
	if err := b.Server.Refuse(refuse); err != nil {
		s.t.Fatal(err)
	}
}

// injectAgentFault kills an agent and returns a function that restarts it.
func (s *randomFaults) injectAgentFault() func() {
	name := s.pickBackend(func(*embedded.Backend) bool { return true }).Spec.Name
	if err := s.KillAgent(name); err != nil {
		s.t.Fatal(err)
	}
	return func() {
		if err := s.StartAgent(s.t.Context(), name); err != nil {
			s.t.Fatal(err)
		}
	}
}

// injectStoreFault injects a fault into the store and returns a function that removes
// it.
func (s *randomFaults) injectStoreFault() func() {
	switch s.rng.IntN(3) {
	case 0:
		s.Store.SetDown(true)
		return func() { s.Store.SetDown(false) }
	case 1:
		s.Store.LoseResponses(1 + s.rng.IntN(4))
	default:
		s.Store.DropRequests(1 + s.rng.IntN(4))
	}
	return func() {}
}

// changeRecords changes records as operators and quarantines do and returns a function
// that restores them.
func (s *randomFaults) changeRecords() func() {
	versions := func(old, next config.VersionState) {
		s.putWithRetry(config.KindModel, "small", &config.Model{Versions: []config.ModelVersion{modelVersion("1", old, 1), modelVersion("2", next, 1)}})
	}
	switch s.rng.IntN(4) {
	case 0:
		versions(config.VersionWithdrawn, config.VersionActive)
		return func() { versions(config.VersionActive, config.VersionWithdrawn) }
	case 1:
		s.setQuarantine("medium", "1", false)
		return func() { s.setQuarantine("medium", "1", true) }
	case 2:
		dataCentre := []string{"jylland", "sjaelland"}[s.rng.IntN(2)]
		region := map[string]string{"jylland": "west", "sjaelland": "east"}[dataCentre]
		record := config.DataCentre{Region: region, State: config.DataCentreIn, Grace: config.Duration(time.Second)}
		out := record
		out.State = config.DataCentreOut
		s.putWithRetry(config.KindDataCentre, dataCentre, &out)
		return func() { s.putWithRetry(config.KindDataCentre, dataCentre, &record) }
	default: // a server with one slot and a queue of one
		b := s.pickBackend(func(b *embedded.Backend) bool { return b.Engine != nil })
		narrow := *b.Record(config.BackendServerIn)
		narrow.ColdLimit, narrow.WarmLimit = 1, 1
		s.putWithRetry(config.KindBackendServer, b.Spec.Name, &narrow)
		return func() { s.putWithRetry(config.KindBackendServer, b.Spec.Name, b.Record(config.BackendServerIn)) }
	}
}

func (s *randomFaults) setQuarantine(model, version string, lifted bool) {
	eventually(s.t, "the store takes the quarantine", func() bool { return s.writeQuarantine(model, version, lifted) == nil })
}

// nextRequest selects the next request.
func (s *randomFaults) nextRequest(i int) sentRequest {
	id := fmt.Sprintf("r-%d", i)
	entry := []string{"entry-jylland", "entry-sjaelland"}[s.rng.IntN(2)]
	r := sentRequest{prompt: "prompt-" + id}
	switch s.rng.IntN(6) {
	case 0:
		r.request, r.key = booking(id, entry, "own-"+id), "own-"+id
	case 1:
		r.request, r.key = booking(id, entry, ""), id
	case 2:
		r.key = fmt.Sprintf("shared-%d", i/24)
		r.request = booking(id, entry, r.key)
	case 3:
		r.request = chat(id, entry, "auto", r.prompt, s.rng.IntN(2) == 0)
	default:
		r.request = chat(id, entry, "small", r.prompt, s.rng.IntN(2) == 0)
	}
	if r.key != "" {
		r.request.body = fmt.Sprintf(`{"for":%q}`, r.key)
	}
	return r
}

func (s *randomFaults) sendInRound(r sentRequest, round *sync.WaitGroup) {
	r.at = time.Now()
	round.Add(1)
	s.running.Go(func() {
		defer round.Done()
		r.response = s.send(r.request)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.sent[r.request.id] = r
	})
}

const requestsPerRound = 8

// randomRound sends requests under randomly selected faults.
func (s *randomFaults) randomRound(first int) {
	var undo []func()
	if s.rng.IntN(3) > 0 {
		undo = append(undo, s.injectEngineFault())
	}
	if s.rng.IntN(6) == 0 {
		undo = append(undo, s.injectAgentFault())
	}
	switch s.rng.IntN(3) {
	case 0:
		undo = append(undo, s.changeRecords())
	case 1:
		undo = append(undo, s.injectStoreFault())
	}
	var round sync.WaitGroup
	for i := range requestsPerRound {
		s.sendInRound(s.nextRequest(first+i), &round)
		time.Sleep(time.Duration(s.rng.IntN(20)) * time.Millisecond)
	}
	slices.Reverse(undo) // restores the store before records are written
	for _, f := range undo {
		f()
	}
}

// setAllRefusing closes or opens the listen addresses of all backend servers.
func (s *randomFaults) setAllRefusing(refuse bool) {
	s.t.Helper()
	for _, b := range s.Backends {
		s.setRefusing(b, refuse)
	}
}

// unreachableRound sends requests while no backend server is reachable. All of them are
// refused and none runs.
func (s *randomFaults) unreachableRound(first int) {
	s.setAllRefusing(true)
	var round sync.WaitGroup
	for i := range requestsPerRound {
		s.sendInRound(s.nextRequest(first+i), &round)
	}
	round.Wait()
	s.setAllRefusing(false)
}

// interruptedRound interrupts running chats that have no token yet, and lets all
// further attempts be refused. Their callers must not be told "not run". The chats are
// interrupted by their engines, or by killing the agents.
func (s *randomFaults) interruptedRound(first int, killAgents bool) {
	var engines []*embedded.Backend
	for _, b := range s.Backends {
		if b.Engine != nil {
			b.Engine.SetFaults(standin.EngineFaults{Hang: true})
			engines = append(engines, b)
		}
	}
	var round sync.WaitGroup
	for i := range requestsPerRound {
		id := fmt.Sprintf("r-%d", first+i)
		r := sentRequest{prompt: "prompt-" + id}
		r.request = chat(id, []string{"entry-jylland", "entry-sjaelland"}[i%2], "small", r.prompt, i%4 < 2)
		s.sendInRound(r, &round)
	}
	running := func() (n int) {
		for _, b := range engines {
			n += b.Engine.Status().Running
		}
		return n
	}
	// The limits may admit fewer before the first of them times out.
	for until := time.Now().Add(time.Second / 2); running() < requestsPerRound && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	for _, b := range engines {
		if killAgents {
			if err := s.KillAgent(b.Spec.Name); err != nil {
				s.t.Fatal(err)
			}
		}
	}
	s.setAllRefusing(true)
	for _, b := range engines {
		if killAgents {
			if err := s.StartAgent(s.t.Context(), b.Spec.Name); err != nil {
				s.t.Fatal(err)
			}
		}
	}
	round.Wait()
	s.setAllRefusing(false)
	for _, b := range engines {
		b.Engine.SetFaults(standin.EngineFaults{})
	}
	if err := s.WaitReady(s.t.Context()); err != nil {
		s.t.Fatal(err)
	}
}

// sendRounds sends requests in rounds, most of them under random faults.
func (s *randomFaults) sendRounds(rounds int) {
	for i := range rounds {
		switch first := i * requestsPerRound; i % 10 {
		case 3:
			s.unreachableRound(first)
		case 6:
			s.interruptedRound(first, false)
		case 9:
			s.interruptedRound(first, true)
		default:
			s.randomRound(first)
		}
	}
	s.running.Wait()
}
