package e2e

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"hyssoploom/config"
	"hyssoploom/embedded"
)

// BenchmarkEntryControl measures the resource usage of an idle entry for several
// numbers of links.
func BenchmarkEntryControl(b *testing.B) {
	for _, links := range []int{8, 24, 48} {
		b.Run(fmt.Sprintf("links=%d", links), func(b *testing.B) {
			proxy := new(countingProxy)
			fleet, entry := startEntryWithAgents(b, links, proxy)
			reportIdleUsage(b, entry.Pid(), proxy, storeCallCounter(fleet))
		})
	}
}

// BenchmarkAgentControl measures the resource usage of an idle agent for several
// numbers of links.
func BenchmarkAgentControl(b *testing.B) {
	for _, links := range []int{4, 16, 32} {
		b.Run(fmt.Sprintf("links=%d", links), func(b *testing.B) {
			proxy := new(countingProxy)
			var spec embedded.Spec
			for i := range links {
				spec.Entries = append(spec.Entries, embedded.EntrySpec{Name: fmt.Sprintf("entry-%d", i), DataCentre: "jylland"})
			}
			spec.Backends = engineSpecs(1)
			fleet := startEmbedded(b, spec)
			if err := fleet.KillAgent("small-0"); err != nil {
				b.Fatal(err)
			}
			agent := startProcess(b, "agent", "small-0",
				fmt.Sprintf("listen = \"127.0.0.1:0\"\nbackend_url = %q\n", fleet.Backends["small-0"].Server.URL()), fleet.URLs())
			record := fleet.Backends["small-0"].Record(config.BackendServerIn)
			record.AgentAddr = proxy.proxyTo(b, agent.Addr)
			if err := fleet.Put(b.Context(), config.KindBackendServer, "small-0", record); err != nil {
				b.Fatal(err)
			}
			waitUntilLinked(b, func() bool {
				for _, e := range fleet.Entries {
					if !e.Entry.HasLinks(1) {
						return false
					}
				}
				return true
			})
			reportIdleUsage(b, agent.Pid(), proxy, func() int { return 0 })
		})
	}
}

// BenchmarkOpenStreams measures the memory and CPU usage of an entry with open streams.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 500
	spec := engineSpecs(4)
	for i := range spec {
		spec[i].ColdLimit, spec[i].WarmLimit = streams, streams
		spec[i].Engine.Tokens, spec[i].Engine.TokenDelay = 5000, 10*time.Millisecond
	}
	fleet := startEmbedded(b, embedded.Spec{Backends: spec})
	entry := startProcess(b, "entry", "entry-1", fmt.Sprintf("listen = \"127.0.0.1:0\"\nrater_url = %q\n", fleet.URLs().Rater), fleet.URLs())
	waitUntilLinked(b, func() bool {
		v, ok := readVars("http://" + entry.Addr)
		return ok && v.Hyssoploom.Links.Alive == len(spec)
	})
	idle := readUsage(b, entry.Pid())
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	var chunks, open atomic.Int64
	for range streams {
		go readStream(ctx, "http://"+entry.Addr, &open, &chunks)
	}
	waitUntilLinked(b, func() bool { return open.Load() == streams })
	time.Sleep(settleTime)
	before, chunksBefore := readUsage(b, entry.Pid()), chunks.Load()
	time.Sleep(measureTime)
	after := readUsage(b, entry.Pid())
	tokens := float64(chunks.Load() - chunksBefore)
	b.ReportMetric(float64(after.resident)/(1<<20), "MB")
	b.ReportMetric(float64(after.resident-idle.resident)/streams/1024, "KB/stream")
	b.ReportMetric(tokens/measureTime.Seconds(), "tokens/s")
	b.ReportMetric(float64((after.cpu-before.cpu).Microseconds())/tokens, "cpu-µs/token")
}
