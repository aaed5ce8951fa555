package gateway_test

import (
	"testing"
	"time"

	"hyssoploom/platform/fake"
)

// Guards against requests that are rejected because they arrive between the start of an
// entry and its first read of the store. When all entries start at once, many clients
// have no attempt left after such a rejection.
func TestRequestsDuringStartup(t *testing.T) {
	store := newStore(t)
	app := fake.NewBackendServer(t, "i-1", fake.Respond(200, "hello"))
	register(store, "app", ownDC, app)
	store.SetFaults(fake.StoreFaults{Delay: 100 * time.Millisecond})
	e := launch(t, store, "e1", ownDC)
	if a := e.send("GET", "/look/a", ""); a.status != 200 {
		t.Errorf("status %d %s, want 200", a.status, a.body)
	}
}

// Guards against clients that wait for a store that does not respond.
func TestRejectedWhileStoreUnresponsive(t *testing.T) {
	store := newStore(t)
	store.SetFaults(fake.StoreFaults{Hang: true})
	e := launch(t, store, "e1", ownDC)
	began := time.Now()
	if a := e.send("GET", "/look/a", ""); a.status != 503 {
		t.Errorf("status %d %s, want 503", a.status, a.body)
	}
	time.Sleep(time.Until(began.Add(time.Second)))
	again := time.Now()
	if a := e.send("GET", "/look/a", ""); a.status != 503 {
		t.Errorf("status %d %s, want 503", a.status, a.body)
	}
	if took := time.Since(again); took > 500*time.Millisecond {
		t.Errorf("the rejection took %v after the startup phase, want at most 500ms", took)
	}
}
