package telemetry

import (
	"expvar"
	"fmt"
	"net/http"
)

// Metrics is the expvar map of one daemon. It is not published globally, so
// that several daemons can live in one process.
type Metrics struct {
	vars *expvar.Map
}

// NewMetrics returns an empty map.
func NewMetrics() *Metrics { return &Metrics{vars: new(expvar.Map).Init()} }

// Add adds delta to a counter.
func (m *Metrics) Add(name string, delta int64) { m.vars.Add(name, delta) }

// Func publishes the value that f returns at each read.
func (m *Metrics) Func(name string, f func() any) { m.vars.Set(name, expvar.Func(f)) }

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
