package provider

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"hyssoploom/config"
	"hyssoploom/platform"
	"hyssoploom/standin"
)

// put writes the state of data centre "a" and returns the revision.
func put(t *testing.T, s *standin.Store, expect uint64, state config.DataCentreState) uint64 {
	t.Helper()
	raw, err := config.Encode(config.Envelope{SchemaVersion: 1, Kind: config.KindDataCentre, Name: "a",
		Writer: "t", ChangeID: fmt.Sprint(expect), Spec: &config.DataCentre{Region: "r", State: state}})
	if err != nil {
		t.Fatal(err)
	}
	rev, err := s.Swap(t.Context(), platform.Write{Key: config.Key(config.KindDataCentre, "a"), Value: raw, Expect: expect})
	if err != nil {
		t.Fatal(err)
	}
	return rev
}

func stateOf(snap *config.Snapshot) config.DataCentreState {
	if d := snap.View().DataCentres["a"]; d != nil {
		return d.State
	}
	return ""
}

func start(t *testing.T, p *Provider) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = p.Serve(ctx) }()
	return func() { cancel(); <-done }
}

// Guards against changes that do not arrive, and against records that turn
// back or vanish while the store is away or its watches are silent.
func TestFollow(t *testing.T) {
	for name, make := range map[string]func(platform.Store, *config.Snapshot, Options) *Provider{
		"watcher": NewWatcher, "poller": NewPoller,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, snap := standin.NewStore(), config.NewSnapshot()
				rev := put(t, store, 0, config.DataCentreIn)
				p := make(store, snap, Options{})
				defer start(t, p)()
				expect := func(when string, within time.Duration, want config.DataCentreState) {
					t.Helper()
					time.Sleep(within)
					synctest.Wait()
					if got := stateOf(snap); got != want {
						t.Fatalf("%s: state is %q, want %q", when, got, want)
					}
				}
				expect("first list", time.Second, config.DataCentreIn)
				rev = put(t, store, rev, config.DataCentreOut)
				expect("change", 3*time.Second, config.DataCentreOut)

				store.SetDown(true)
				expect("outage", 10*time.Minute, config.DataCentreOut)
				if p.Age() < 9*time.Minute {
					t.Fatalf("Age() = %v in an outage of 10 minutes", p.Age())
				}
				store.SetDown(false)
				rev = put(t, store, rev, config.DataCentreIn)
				expect("store is back", 12*time.Second, config.DataCentreIn)

				store.SetWatchesSilent(true)
				time.Sleep(time.Second)
				put(t, store, rev, config.DataCentreOut)
				expect("change while silent", time.Second, config.DataCentreIn)
				store.SetWatchesSilent(false)
				expect("new watch after silence", 50*time.Second, config.DataCentreOut)
				if p.Age() > 40*time.Second {
					t.Fatalf("Age() = %v in contact with the store", p.Age())
				}
			})
		})
	}
}
