package telemetry

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Metrics is the expvar map of one daemon. It is not published globally, so
// that several daemons can live in one process.
type Metrics struct {
	vars *expvar.Map

	mu         sync.Mutex
	histograms map[string]*Histogram
}

// NewMetrics returns an empty map.
func NewMetrics() *Metrics {
	return &Metrics{vars: new(expvar.Map).Init(), histograms: make(map[string]*Histogram)}
}

// Add adds delta to a counter.
func (m *Metrics) Add(name string, delta int64) { m.vars.Add(name, delta) }

// Func publishes the value that f returns at each read.
func (m *Metrics) Func(name string, f func() any) { m.vars.Set(name, expvar.Func(f)) }

// Observe counts a duration in a histogram.
func (m *Metrics) Observe(name string, d time.Duration) {
	m.mu.Lock()
	h := m.histograms[name]
	if h == nil {
		h = &Histogram{}
		m.histograms[name] = h
		m.vars.Set(name, h)
	}
	m.mu.Unlock()
	h.Observe(d)
}

// Get returns a counter's value, 0 when it was never added to.
func (m *Metrics) Get(name string) int64 {
	if v, ok := m.vars.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// ServeHTTP writes the global expvar variables and, under the name
// "hyssoploom", those of this daemon.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprint(w, "{\n")
	expvar.Do(func(kv expvar.KeyValue) {
		fmt.Fprintf(w, "%q: %s,\n", kv.Key, kv.Value)
	})
	fmt.Fprintf(w, "%q: %s\n}\n", "hyssoploom", m.vars)
}
