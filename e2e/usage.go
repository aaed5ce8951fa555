package e2e

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hyssoploom/config"
	"hyssoploom/embedded"
	"hyssoploom/internal/process"
)

// The benchmarks in capacity_test.go measure the slopes in docs/CAPACITY.md: the usage
// of one real process according to /proc, while its peers run in the test process.

const (
	settleTime          = 12 * time.Second
	measureTime         = 12 * time.Second
	clockTicksPerSecond = 100 // unit of CPU times in /proc/PID/stat on Linux
)

// usage is the resource usage of a process.
type usage struct {
	cpu      time.Duration
	resident int64 // bytes
}

func readUsage(b *testing.B, pid int) usage {
	b.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	// The command name in parentheses may contain spaces. The fields after it are
	// numbered from 3.
	fields := strings.Fields(string(stat)[strings.LastIndex(string(stat), ")")+2:])
	number := func(field int) int64 {
		n, err := strconv.ParseInt(fields[field-3], 10, 64)
		if err != nil {
			b.Fatal(err)
		}
		return n
	}
	ticks := number(14) + number(15)
	return usage{
		cpu:      time.Duration(ticks) * time.Second / clockTicksPerSecond,
		resident: number(24) * int64(os.Getpagesize()),
	}
}

// countingProxy counts the bytes of all links that it forwards.
type countingProxy struct{ bytes atomic.Int64 }

// proxyTo returns the address of a listener whose connections are forwarded to target.
func (p *countingProxy) proxyTo(b *testing.B, target string) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			go p.forward(in, out)
			go p.forward(out, in)
		}
	}()
	return listener.Addr().String()
}

func (p *countingProxy) forward(from, to net.Conn) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.bytes.Add(int64(n))
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// reportIdleUsage reports the resource usage per second of an idle process.
func reportIdleUsage(b *testing.B, pid int, proxy *countingProxy, storeCalls func() int) {
	time.Sleep(settleTime)
	before, bytesBefore, callsBefore := readUsage(b, pid), proxy.bytes.Load(), storeCalls()
	time.Sleep(measureTime)
	after := readUsage(b, pid)
	seconds := measureTime.Seconds()
	b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/seconds, "%core")
	b.ReportMetric(float64(after.resident)/(1<<20), "MB")
	b.ReportMetric(float64(proxy.bytes.Load()-bytesBefore)/seconds, "wire-B/s")
	b.ReportMetric(float64(storeCalls()-callsBefore)/seconds, "store-calls/s")
}

func engineSpecs(n int) []embedded.BackendSpec {
	var out []embedded.BackendSpec
	for i := range n {
		out = append(out, embedded.EngineSpec(fmt.Sprintf("small-%d", i), "jylland", "small", "1"))
	}
	return out
}

func startEmbedded(b *testing.B, spec embedded.Spec) *embedded.Fleet {
	b.Helper()
	fleet, err := embedded.Start(b.Context(), spec)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = fleet.Close() })
	return fleet
}

// startEntryWithAgents starts an entry process with n embedded agents.
func startEntryWithAgents(b *testing.B, n int, proxy *countingProxy) (*embedded.Fleet, *process.Process) {
	b.Helper()
	fleet := startEmbedded(b, embedded.Spec{Backends: engineSpecs(n)})
	for name, backend := range fleet.Backends {
		record := backend.Record(config.BackendServerIn)
		record.AgentAddr = proxy.proxyTo(b, record.AgentAddr)
		if err := fleet.Put(b.Context(), config.KindBackendServer, name, record); err != nil {
			b.Fatal(err)
		}
	}
	entry := startProcess(b, "entry", "entry-1", fmt.Sprintf("listen = \"127.0.0.1:0\"\nrater_url = %q\n", fleet.URLs().Rater), fleet.URLs())
	waitUntilLinked(b, func() bool {
		v, ok := readVars("http://" + entry.Addr)
		return ok && v.Hyssoploom.Links.Alive == min(n, 48)
	})
	return fleet, entry
}

// startProcess starts a daemon as a separate process that uses the platform of the
// embedded fleet.
func startProcess(b *testing.B, kind, name, settings string, urls embedded.URLs) *process.Process {
	b.Helper()
	path := b.TempDir() + "/" + name + ".toml"
	text := fmt.Sprintf("name = %q\ndata_centre = \"jylland\"\nstore_url = %q\nvm_list_url = %q\nfleet_key = %q\n%s",
		name, urls.Store, urls.VMList, embedded.FleetKey, settings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
	return process.Start(b, parseStarted, hyssoploomBinary, kind, "--settings", path)
}

func waitUntilLinked(b *testing.B, f func() bool) {
	b.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !f() {
		if time.Now().After(deadline) {
			b.Fatal("timed out waiting until the processes are connected")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func storeCallCounter(fleet *embedded.Fleet) func() int {
	return func() int {
		c := fleet.Store.Counts()
		return int(c.Reads + c.Writes)
	}
}

// readStream reads one streamed answer until ctx ends and counts its chunks.
func readStream(ctx context.Context, url string, open, chunks *atomic.Int64) {
	body := `{"model":"small","stream":true,"max_tokens":5000,"messages":[{"role":"user","content":"long"}]}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer key-brydemaatte")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		open.Add(1)
	}
	buf := make([]byte, 4<<10)
	for {
		n, err := resp.Body.Read(buf)
		chunks.Add(int64(strings.Count(string(buf[:n]), "data: ")))
		if err != nil {
			return
		}
	}
}
