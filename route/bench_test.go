package route

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPick measures one choice among 20 endpoints (current size), 48 (the most
// that an entry links to without selecting a subset) and 108 (the planned size of a
// data centre in two years).
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 48, 108} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			eps := make([]Endpoint, n)
			for i := range eps {
				eps[i] = endpoint(fmt.Sprintf("backend-%d", i), running(i%8), in(fmt.Sprint(i%3), fmt.Sprint(i%3)))
				eps[i].Loaded = []string{"m@0", "m@1"}
				eps[i].Cold = i%10 == 0
				eps[i].ReportAge = 500 * time.Millisecond
			}
			router, random := NewRouter(Config{}), rng(1)
			req := Request{Model: "m", Version: "1", Session: "session-1", DataCentre: "0", Region: "0", Tried: map[string]bool{"backend-1": true}}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := router.Pick(eps, req, random); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSubset measures the selection of links among 650 agents.
func BenchmarkSubset(b *testing.B) {
	agents := agentFleet(650)
	b.ReportAllocs()
	for b.Loop() {
		testSubset("entry-1", agents)
	}
}
