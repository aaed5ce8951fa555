package invariants

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"hyssoploom/config"
	"hyssoploom/embedded"
)

const (
	benchSeeds             = 10
	benchRequestsPerSecond = 220             // 70% of the capacity of the fleet's 6 engines with 8 slots of 0.15 s
	benchPhaseTime         = 2 * time.Second // out of service, and after the return
	benchTokens            = 30              // 0.12 s after the first token
	benchFirstToken        = 30 * time.Millisecond
	benchReadinessLag      = 200 * time.Millisecond // of the balancer behind the entries' readiness
)

var benchDataCentres = []string{"jylland", "sjaelland", "fyn"}

func threeDataCentresSpec(seed uint64) embedded.Spec {
	spec := embedded.Spec{RequestTimeout: 10 * time.Second, Seed: seed}
	for _, dataCentre := range benchDataCentres {
		spec.Entries = append(spec.Entries, embedded.EntrySpec{Name: "entry-" + dataCentre, DataCentre: dataCentre})
		for i := range 2 {
			b := engineSpec(fmt.Sprintf("small-%s-%d", dataCentre, i+1), "small", benchTokens, 4*time.Millisecond)
			b.DataCentre, b.ColdLimit, b.WarmLimit = dataCentre, 2, 8
			b.Engine.ColdLimit, b.Engine.FirstTokenDelay = 2, func(int) time.Duration { return benchFirstToken }
			spec.Backends = append(spec.Backends, b)
		}
	}
	return spec
}

// outcomeCounts counts the requests of one run by outcome.
type outcomeCounts struct {
	mu                         sync.Mutex
	sent, failed, refused, cut int
	codes                      map[string]int // refusals by error code
}

func (c *outcomeCounts) add(status int, body string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	switch {
	case err == nil && status == http.StatusOK && strings.Contains(body, "data: [DONE]"):
	case status == http.StatusOK:
		c.cut++
	case strings.Contains(body, `"not_run"`):
		c.refused++
		if c.codes == nil {
			c.codes = make(map[string]int)
		}
		c.codes[response{body: body}.error().Code]++
	default:
		c.failed++
	}
}

// offerLoad sends streams at benchRequestsPerSecond with random gaps through the
// entries that were ready benchReadinessLag ago, until stop is closed.
func offerLoad(f *embedded.Fleet, seed uint64, stop <-chan struct{}, counts *outcomeCounts) {
	rng := rand.New(rand.NewPCG(seed, 1))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: waitTimeout}
	defer client.CloseIdleConnections()
	var requests sync.WaitGroup
	defer requests.Wait()
	var ready []string
	checkedAt := time.Time{}
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / benchRequestsPerSecond))
		select {
		case <-stop:
			return
		case <-time.After(time.Until(next)):
		}
		if time.Since(checkedAt) > benchReadinessLag {
			ready, checkedAt = ready[:0], time.Now()
			for name, e := range f.Entries {
				if e.Entry.Ready() {
					ready = append(ready, name)
				}
			}
			slices.Sort(ready)
		}
		url := f.Entries[ready[rng.IntN(len(ready))]].URL
		requests.Go(func() { counts.add(sendStream(client, url, n)) })
	}
}

func sendStream(client *http.Client, url string, n int) (int, string, error) {
	r := chat("", "", "small", fmt.Sprint(n), true)
	req, err := http.NewRequest(http.MethodPost, url+r.path, strings.NewReader(r.body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+r.key)
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// drainAndReturn takes jylland out of service by its record, restarts its agents and
// engines, and returns it to service.
func drainAndReturn(ctx context.Context, f *embedded.Fleet) error {
	record := &config.DataCentre{Region: "west", State: config.DataCentreOut, Grace: config.Duration(time.Second)}
	if err := f.Put(ctx, config.KindDataCentre, "jylland", record); err != nil {
		return err
	}
	time.Sleep(benchPhaseTime)
	for _, name := range jyllandEngines {
		if err := f.StopAgent(ctx, name); err != nil {
			return err
		}
		f.Backends[name].Engine.MakeCold()
		if err := f.StartAgent(ctx, name); err != nil {
			return err
		}
	}
	record.State = config.DataCentreIn
	return f.Put(ctx, config.KindDataCentre, "jylland", record)
}

// killAndReturn is the baseline: the agents are killed and restarted.
func killAndReturn(ctx context.Context, f *embedded.Fleet) error {
	for _, name := range jyllandEngines {
		if err := f.KillAgent(name); err != nil {
			return err
		}
	}
	time.Sleep(benchPhaseTime)
	for _, name := range jyllandEngines {
		f.Backends[name].Engine.MakeCold()
		if err := f.StartAgent(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

// runMaintenance runs one maintenance window under load and returns its counts.
func runMaintenance(b *testing.B, seed uint64, window func(context.Context, *embedded.Fleet) error) *outcomeCounts {
	b.Helper()
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	f, err := embedded.Start(ctx, threeDataCentresSpec(seed))
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	record := &config.DataCentre{Region: "west", State: config.DataCentreIn, Grace: config.Duration(time.Second)}
	if err := f.Put(ctx, config.KindDataCentre, "fyn", record); err != nil {
		b.Fatal(err)
	}
	if err := f.WaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	load := func(counts *outcomeCounts) func() {
		stop, done := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(done)
			offerLoad(f, seed, stop, counts)
		}()
		return func() {
			close(stop)
			<-done
		}
	}
	stopWarmUp := load(&outcomeCounts{}) // not counted: lets the agents raise their limits
	for !allWarmedUp(f) && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	stopWarmUp()
	counts := &outcomeCounts{}
	stopLoad := load(counts)
	time.Sleep(time.Second)
	if err := window(ctx, f); err != nil {
		b.Error(err)
	}
	time.Sleep(benchPhaseTime)
	stopLoad()
	return counts
}

func allWarmedUp(f *embedded.Fleet) bool {
	for _, backend := range f.Backends {
		if backend.Agent.Load().Limit < 7 {
			return false
		}
	}
	return true
}

// BenchmarkDataCentreLeaves counts the failed and refused requests while one of three
// data centres leaves and returns at 70% load. Run it with -benchtime 1x.
func BenchmarkDataCentreLeaves(b *testing.B) {
	for range b.N {
		// Printed to stdout because the log of a benchmark is truncated after ten
		// lines.
		fmt.Println("| seed | requests | out by its record: cut, failed, refused | requests | agents killed: cut, failed, refused |")
		fmt.Println("| --- | --- | --- | --- | --- |")
		for seed := range uint64(benchSeeds) {
			drained := runMaintenance(b, seed+1, drainAndReturn)
			killed := runMaintenance(b, seed+1, killAndReturn)
			fmt.Printf("| %d | %d | %d, %d, %d %v | %d | %d, %d, %d %v |\n", seed+1,
				drained.sent, drained.cut, drained.failed, drained.refused, drained.codes,
				killed.sent, killed.cut, killed.failed, killed.refused, killed.codes)
		}
	}
}
