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
	benchSeeds  = 10
	benchRate   = 220                    // requests/s, 70% of the fleet's 6 engines with 8 slots of 0.15 s
	benchPhase  = 2 * time.Second        // out of service, and back again
	benchTokens = 30                     // 0.12 s after the first token
	benchFirst  = 30 * time.Millisecond  // first token
	benchNotice = 200 * time.Millisecond // the balancer's lag behind readiness
)

var benchCentres = []string{"jylland", "sjaelland", "fyn"}

func threeCentres(seed uint64) embedded.Spec {
	spec := embedded.Spec{RequestTimeout: 10 * time.Second, Seed: seed}
	for _, centre := range benchCentres {
		spec.Entries = append(spec.Entries, embedded.EntrySpec{Name: "entry-" + centre, DataCentre: centre})
		for i := range 2 {
			b := engine(fmt.Sprintf("small-%s-%d", centre, i+1), "small", benchTokens, 4*time.Millisecond)
			b.DataCentre, b.ColdLimit, b.WarmLimit = centre, 2, 8
			b.Engine.ColdLimit, b.Engine.FirstTokenDelay = 2, func(int) time.Duration { return benchFirst }
			spec.Backends = append(spec.Backends, b)
		}
	}
	return spec
}

// tally counts the requests of one run by outcome.
type tally struct {
	mu                         sync.Mutex
	sent, failed, refused, cut int
	codes                      map[string]int // of refusals
}

func (c *tally) add(status int, body string, err error) {
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

// offerLoad sends streams at benchRate with random gaps through the entries
// that were ready benchNotice ago, until stop is closed.
func offerLoad(f *embedded.Fleet, seed uint64, stop <-chan struct{}, c *tally) {
	rng := rand.New(rand.NewPCG(seed, 1))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: waitTime}
	defer client.CloseIdleConnections()
	var running sync.WaitGroup
	defer running.Wait()
	var ready []string
	looked := time.Time{}
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / benchRate))
		select {
		case <-stop:
			return
		case <-time.After(time.Until(next)):
		}
		if time.Since(looked) > benchNotice {
			ready, looked = ready[:0], time.Now()
			for name, e := range f.Entries {
				if e.Entry.Ready() {
					ready = append(ready, name)
				}
			}
			slices.Sort(ready)
		}
		url := f.Entries[ready[rng.IntN(len(ready))]].URL
		running.Go(func() { c.add(sendStream(client, url, n)) })
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

// leaveAndReturn takes jylland out by its record, restarts what runs there, and
// takes it back.
func leaveAndReturn(ctx context.Context, f *embedded.Fleet) error {
	record := &config.DataCentre{Region: "west", State: config.DataCentreOut, Grace: config.Duration(time.Second)}
	if err := f.Put(ctx, config.KindDataCentre, "jylland", record); err != nil {
		return err
	}
	time.Sleep(benchPhase)
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

// killAndReturn is the baseline: the agents die and come back.
func killAndReturn(ctx context.Context, f *embedded.Fleet) error {
	for _, name := range jyllandEngines {
		if err := f.KillAgent(name); err != nil {
			return err
		}
	}
	time.Sleep(benchPhase)
	for _, name := range jyllandEngines {
		f.Backends[name].Engine.MakeCold()
		if err := f.StartAgent(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

// maintenance runs one window under load and returns its counts.
func maintenance(b *testing.B, seed uint64, window func(context.Context, *embedded.Fleet) error) *tally {
	b.Helper()
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	f, err := embedded.Start(ctx, threeCentres(seed))
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
	load := func(c *tally) func() {
		stop, done := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(done)
			offerLoad(f, seed, stop, c)
		}()
		return func() {
			close(stop)
			<-done
		}
	}
	warm := load(&tally{}) // not counted: the agents raise their limits
	for !allWarm(f) && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	warm()
	c := &tally{}
	end := load(c)
	time.Sleep(time.Second)
	if err := window(ctx, f); err != nil {
		b.Error(err)
	}
	time.Sleep(benchPhase)
	end()
	return c
}

func allWarm(f *embedded.Fleet) bool {
	for _, backend := range f.Backends {
		if backend.Agent.Load().Limit < 7 {
			return false
		}
	}
	return true
}

// BenchmarkDataCentreLeaves counts the failed and refused requests while one of
// three data centres leaves and returns at 70% load. Run it with -benchtime 1x.
func BenchmarkDataCentreLeaves(b *testing.B) {
	for range b.N {
		// Printed, because the log of a benchmark is cut after ten lines.
		fmt.Println("| seed | requests | out by its record: cut, failed, refused | requests | agents killed: cut, failed, refused |")
		fmt.Println("| --- | --- | --- | --- | --- |")
		for seed := range uint64(benchSeeds) {
			drained := maintenance(b, seed+1, leaveAndReturn)
			killed := maintenance(b, seed+1, killAndReturn)
			fmt.Printf("| %d | %d | %d, %d, %d %v | %d | %d, %d, %d %v |\n", seed+1,
				drained.sent, drained.cut, drained.failed, drained.refused, drained.codes,
				killed.sent, killed.cut, killed.failed, killed.refused, killed.codes)
		}
	}
}
