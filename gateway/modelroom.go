package gateway

import (
	"maps"
	"time"

	"hyssoploom/cascade"
	"hyssoploom/fleet"
	"hyssoploom/peers"
	"hyssoploom/placing"
)

// modelRoom holds what this entry knows of the room of larger models and of the requests
// that compete for it. It is used only in deployments whose callers compete. The zero value
// knows nothing.
type modelRoom struct {
	shares map[string]*cascade.Shares // by service
	sizes  map[string]*cascade.Sizes  // by route
	// targets holds the tightest latency target by service for a version of the
	// configuration.
	targets        map[string]time.Duration
	targetsVersion int64
	readTimes      map[string]*placing.ReadTime // by model
}

// entryOf returns the value of a key, which it creates if needed.
func entryOf[V any](m *map[string]*V, key string, create func() *V) *V {
	v := (*m)[key]
	if v == nil {
		if *m == nil {
			*m = make(map[string]*V)
		}
		v = create()
		(*m)[key] = v
	}
	return v
}

func (m *modelRoom) sharesOf(service string) *cascade.Shares {
	return entryOf(&m.shares, service, cascade.NewShares)
}

// class returns the class of a request of a route by the length of its prompt.
func (m *modelRoom) class(route string, promptTokens int) cascade.Class {
	s := entryOf(&m.sizes, route, func() *cascade.Sizes { return &cascade.Sizes{} })
	return cascade.NewClass(route, s.Classify(promptTokens))
}

// tightestTarget returns the lowest latency target of the routes to a service, 0 if none has
// one.
func (m *modelRoom) tightestTarget(config *fleet.Config, service string) time.Duration {
	if m.targets == nil || m.targetsVersion != config.Version {
		m.targets, m.targetsVersion = make(map[string]time.Duration), config.Version
		for _, route := range config.Routes() {
			for _, s := range route.Services {
				if old, ok := m.targets[s.Service]; route.LatencyTarget > 0 && (!ok || route.LatencyTarget < old) {
					m.targets[s.Service] = route.LatencyTarget
				}
			}
		}
	}
	return m.targets[service]
}

func (m *modelRoom) readTime(model string) *placing.ReadTime {
	return entryOf(&m.readTimes, model, func() *placing.ReadTime { return &placing.ReadTime{} })
}

// prune drops the state of services, routes and models that a configuration does not have.
func (m *modelRoom) prune(config *fleet.Config) {
	routes, models := make(map[string]bool), make(map[string]bool)
	for _, route := range config.Routes() {
		routes[route.Name] = true
	}
	for _, service := range config.Services {
		if service.Engine != nil {
			for _, model := range service.Engine.Models {
				models[model.Name] = true
			}
		}
	}
	maps.DeleteFunc(m.shares, func(name string, _ *cascade.Shares) bool { return config.Services[name] == nil })
	maps.DeleteFunc(m.sizes, func(name string, _ *cascade.Sizes) bool { return !routes[name] })
	maps.DeleteFunc(m.readTimes, func(name string, _ *placing.ReadTime) bool { return !models[name] })
}

// observePrefill learns the reading speed of engines from the time until the head of a
// response arrived.
func (g *Gateway) observePrefill(model string, t *target, observed time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.underPressure && t.wait < maxIdleWait:
		g.prefillRatios.observe(model, t.prefill, observed)
	case g.underPressure && t.load.cache != nil && t.server.Region == g.Self.Region: // without the round trip to other regions
		if config := g.State.View().Config; config == nil || !serves(config, model) {
			return // clients name models that do not exist
		}
		read := time.Duration(float64(t.nominalPrefill) * t.slowness)
		g.modelRoom.readTime(model).Observe(read, t.pendingBefore, observed)
	}
}

// readRatio returns the ratio of observed to expected reading times of a model. The caller
// must hold g.mu.
func (g *Gateway) readRatio(model string) float64 {
	if !g.underPressure {
		return g.prefillRatios.get(model)
	}
	if r := g.modelRoom.readTimes[model]; r != nil {
		return r.Rate()
	}
	return 1
}

// broadcastModelUse tells the peers what requests have asked of the larger models since the
// last call. The caller must hold g.mu.
func (g *Gateway) broadcastModelUse() {
	for service, s := range g.modelRoom.shares {
		for key, work := range s.TakeUnreported() {
			use := peers.ModelUse{Service: service, Key: uint64(key), WorkMS: work.Milliseconds()}
			g.hub.Broadcast(func(_ fleet.Peer, m *peers.Message) { m.AddModelUse(use) })
		}
	}
}

// addReadTimes adds what this entry knows of the reading times of models, for an entry that
// has just started. The caller must hold g.mu.
func (g *Gateway) addReadTimes(m *peers.Message) {
	for model, read := range g.modelRoom.readTimes {
		s := read.Sums()
		m.ReadTimes = append(m.ReadTimes, peers.ReadTime{Model: model, N: s.N, X: s.X, Y: s.Y, XX: s.XX, XY: s.XY})
	}
}

// receiveModelRoom takes over what a peer knows of larger models. The caller must hold g.mu.
func (g *Gateway) receiveModelRoom(now time.Time, m *peers.Message) {
	if config := g.State.View().Config; g.underPressure && config != nil {
		g.modelRoom.receive(now, config, m)
	}
}

// receive takes over what a peer knows of the services and models of a configuration.
func (m *modelRoom) receive(now time.Time, config *fleet.Config, message *peers.Message) {
	for _, use := range message.ModelUses {
		if config.Services[use.Service] != nil {
			work := time.Duration(min(use.WorkMS, maxUseMS)) * time.Millisecond
			m.sharesOf(use.Service).AddDemand(now, cascade.Key(use.Key), work)
		}
	}
	for _, read := range message.ReadTimes {
		if serves(config, read.Model) {
			m.readTime(read.Model).Adopt(placing.ReadSums{N: read.N, X: read.X, Y: read.Y, XX: read.XX, XY: read.XY})
		}
	}
}

// maxUseMS bounds the work in milliseconds that a peer can report at once.
const maxUseMS = 60_000

// serves reports whether the engines of a service serve a model.
func serves(config *fleet.Config, model string) bool {
	for _, service := range config.Services {
		if service.Engine != nil && service.Engine.Price(model) > 0 {
			return true
		}
	}
	return false
}
