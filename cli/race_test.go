package cli

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hyssoploom/config"
	"hyssoploom/dialect"
	"hyssoploom/standin"
)

// Guards against lost updates and wrong reports when several operators write the same
// record while requests and responses are lost. Every reported write must be in the
// store exactly once, at the reported revision. A write reported as unavailable must
// not be in the store, and one reported as a conflict only if it was overwritten later.
func TestReportsUnderRaceAndLoss(t *testing.T) {
	const operators, rounds = 4, 40
	key := config.Key(config.KindDataCentre, "dc1")
	counts := map[Outcome]int{}
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			store := standin.NewStore()
			var mu sync.Mutex
			reports := map[string]Result{} // by change id
			var wg sync.WaitGroup
			for op := range operators {
				random := rand.New(rand.NewPCG(seed, uint64(op)))
				wg.Go(func() {
					g := &globalFlags{writer: fmt.Sprint("operator-", op)}
					for range rounds {
						time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
						switch random.IntN(8) {
						case 0:
							store.LoseResponses(1)
						case 1:
							store.DropRequests(1)
						case 2:
							store.SetDown(true)
							time.AfterFunc(time.Duration(random.IntN(2000))*time.Millisecond, func() { store.SetDown(false) })
						}
						current, err := getOrZero(t.Context(), store, key)
						if err != nil {
							continue
						}
						time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
						p, err := g.newPendingWrite(key, "update", current.Revision, config.Envelope{SchemaVersion: 1,
							Kind: config.KindDataCentre, Name: "dc1", Spec: &config.DataCentre{Region: g.writer, State: config.DataCentreIn}})
						if err != nil {
							t.Error(err)
							return
						}
						r := p.write(t.Context(), store)
						mu.Lock()
						reports[p.changeID] = r
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			store.SetDown(false)
			compareReports(t, store, reports)
			for _, r := range reports {
				counts[r.Outcome]++
			}
		})
	}
	for _, o := range []Outcome{Written, Conflict, Unknown} {
		if counts[o] == 0 {
			t.Errorf("no write ended as %s: %v", o, counts)
		}
	}
	t.Logf("outcomes: %v", counts)
}

// compareReports checks the reports against the history of the store by change id.
func compareReports(t *testing.T, store *standin.Store, reports map[string]Result) {
	events, _, err := store.Watch(t.Context(), "", 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	inStore := map[string]dialect.Event{}
	for _, e := range events {
		env, err := config.Decode(e.Key, e.Value)
		if _, twice := inStore[env.ChangeID]; twice || err != nil {
			t.Fatalf("change %s is in the store twice or cannot be decoded: %v", env.ChangeID, err)
		}
		inStore[env.ChangeID] = e
	}
	for id, r := range reports {
		e, applied := inStore[id]
		switch {
		case r.Outcome == Written && (!applied || e.Revision != r.Revision):
			t.Errorf("reported as written at %d, in the store at %d", r.Revision, e.Revision)
		case r.Outcome == Unavailable && applied:
			t.Errorf("reported as unavailable, in the store at %d", e.Revision)
		case r.Outcome == Conflict && applied && r.Revision <= e.Revision:
			t.Errorf("reported as a conflict at %d, in the store at %d", r.Revision, e.Revision)
		}
	}
}
