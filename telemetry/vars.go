package telemetry

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Metrics is the expvar map of one daemon. It is not published globally, so that
// several daemons can run in one process, as in the demo.
type Metrics struct {
	vars *expvar.Map

	mu         sync.Mutex
	histograms map[string]*Histogram
}

// NewMetrics returns a Metrics without variables.
func NewMetrics() *Metrics {
	return &Metrics{vars: new(expvar.Map).Init(), histograms: make(map[string]*Histogram)}
}

// Add adds delta to the counter name, which is created if necessary.
func (m *Metrics) Add(name string, delta int64) { m.vars.Add(name, delta) }

// Func publishes a variable whose value is computed by f at each read.
func (m *Metrics) Func(name string, f func() any) { m.vars.Set(name, expvar.Func(f)) }

// Observe counts a duration in the histogram name, which is created if necessary.
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

// Get returns the value of the counter name, or 0 if there is no such counter.
func (m *Metrics) Get(name string) int64 {
	if v, ok := m.vars.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// ServeHTTP writes a JSON object with the global expvar variables and, under the name
// "hyssoploom", the variables of this daemon.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprint(w, "{\n")
	expvar.Do(func(kv expvar.KeyValue) {
		fmt.Fprintf(w, "%q: %s,\n", kv.Key, kv.Value)
	})
	fmt.Fprintf(w, "%q: %s\n}\n", "hyssoploom", m.vars)
}
