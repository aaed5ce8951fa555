// Package overhead measures the latency that the path through entry and agent adds
// to a direct call of an engine.
package overhead

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hyssoploom/config"
	"hyssoploom/dialect"
	"hyssoploom/embedded"
	"hyssoploom/standin"
)

const requestsPerSecond = 2000

// startFleet starts one entry in front of two engines without delays.
func startFleet(b *testing.B) *embedded.Fleet {
	b.Helper()
	spec := embedded.Spec{Entries: []embedded.EntrySpec{{Name: "entry-1", DataCentre: "jylland"}}}
	for _, name := range []string{"small-1", "small-2"} {
		spec.Backends = append(spec.Backends, embedded.BackendSpec{
			Name: name, DataCentre: "jylland", ColdLimit: 256, WarmLimit: 256,
			Serves: []config.Placement{{Model: "small", Version: "1"}},
			Engine: standin.EngineConfig{Loaded: []dialect.ModelRef{{Model: "small", Version: "1"}}, Tokens: 12, Resumes: true},
		})
	}
	f, err := embedded.Start(b.Context(), spec)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = f.Close() })
	ctx, cancel := context.WithTimeout(b.Context(), 20*time.Second)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	return f
}

// latencyRecorder collects latencies in microseconds and counts failed requests.
type latencyRecorder struct {
	mu                         sync.Mutex
	firstToken, lastToken, end *hdrhistogram.Histogram
	failed                     int
}

func newLatencyRecorder() *latencyRecorder {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, 10_000_000, 3) }
	return &latencyRecorder{firstToken: h(), lastToken: h(), end: h()}
}

// runOpenLoop sends b.N streamed requests at requestsPerSecond, without waiting for
// earlier ones to complete.
func runOpenLoop(b *testing.B, url string, body string) *latencyRecorder {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	l := newLatencyRecorder()
	var running sync.WaitGroup
	start := time.Now()
	b.ResetTimer()
	for i := range b.N {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / requestsPerSecond)))
		running.Add(1)
		go func() {
			defer running.Done()
			l.sendRequest(client, url, body)
		}()
	}
	running.Wait()
	b.StopTimer()
	return l
}

// sendRequest sends one streamed request and records its latencies.
func (l *latencyRecorder) sendRequest(client *http.Client, url, body string) {
	start := time.Now()
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer key-brydemaatte")
	resp, err := client.Do(req)
	var first, last time.Duration
	complete := false
	if err == nil {
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			switch text := lines.Text(); {
			case text == "data: [DONE]":
				complete = true
			case strings.Contains(text, `"content":"w`):
				last = time.Since(start)
				if first == 0 {
					first = last
				}
			}
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	end := time.Since(start)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !complete {
		l.failed++
		return
	}
	_ = l.firstToken.RecordValue(first.Microseconds())
	_ = l.lastToken.RecordValue(last.Microseconds())
	_ = l.end.RecordValue(end.Microseconds())
}

// report adds the p50 and p99 latencies and the failed requests to the result of the
// benchmark.
func (l *latencyRecorder) report(b *testing.B) {
	for name, h := range map[string]*hdrhistogram.Histogram{"first": l.firstToken, "last": l.lastToken, "end": l.end} {
		b.ReportMetric(float64(h.ValueAtQuantile(50)), name+"-p50-µs")
		b.ReportMetric(float64(h.ValueAtQuantile(99)), name+"-p99-µs")
	}
	b.ReportMetric(float64(l.failed), "failed")
}
