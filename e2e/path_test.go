package e2e

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"hyssoploom/config"
	"hyssoploom/dialect"
	"hyssoploom/embedded"
	"hyssoploom/internal/process"
	"hyssoploom/ledger"
)

// Guards against components that work only within a single process: each component on
// the request path, including the stand-ins, runs as a separate process.
func TestWholePathAsProcesses(t *testing.T) {
	c := newCluster(t)
	c.storeURL = startStandin(t, "store").Addr
	store := dialect.NewHTTPStore(c.storeURL)
	copyRecords(t, c, store)
	engines := map[string]*process.Process{
		"small":  startStandin(t, "engine", "--load", "small@1", "--tokens", "12"),
		"medium": startStandin(t, "engine", "--load", "medium@1", "--tokens", "12"),
	}
	booking := startStandin(t, "booking")
	for model, engine := range engines {
		agent := c.startAgent(model, engine.Addr, engineRecord("jylland", model, "1"))
		putBackend(t, store, model, agent.Addr, engineRecord("jylland", model, "1"))
	}
	agent := c.startAgent("booking-1", booking.Addr, bookingRecord("jylland"))
	putBackend(t, store, "booking-1", agent.Addr, bookingRecord("jylland"))
	c.startEntry("entry-1", "jylland")
	c.startEntry("entry-2", "jylland")
	for _, entry := range []string{"entry-1", "entry-2"} {
		eventually(t, entry+" serves", func() bool { return c.chat(entry, "small", "warm-up").status == http.StatusOK })
		eventually(t, entry+" serves", func() bool { return c.chat(entry, "medium", "warm-up").status == http.StatusOK })
	}

	answer := c.chat("entry-1", "medium", "Draft a contract.")
	if answer.status != http.StatusOK || !strings.Contains(answer.body, `"finish_reason":"stop"`) {
		t.Errorf("chat: %d %s", answer.status, answer.body)
	}
	for _, entry := range []string{"entry-1", "entry-2"} {
		got := c.post(entry, "/services/booking/bookings", "key-aljibe", `{"crew":2}`, "Idempotency-Key", "visit-7")
		if got.status != http.StatusCreated {
			t.Errorf("booking through %s: %d %s", entry, got.status, got.body)
		}
	}
	if calls := readBookingCalls(t, booking.Addr); len(calls) != 1 {
		t.Errorf("the booking runner was called %d times, want 1", len(calls))
	}
	for _, p := range []*process.Process{c.entries["entry-1"], c.entries["entry-2"], c.agents["small"], c.agents["medium"], c.agents["booking-1"]} {
		p.Stop(t)
	}
	rows, err := ledger.Read(context.Background(), store)
	if err != nil {
		t.Fatal(err)
	}
	if total := rows.Bill(ledger.Filter{Workspace: "aljibe"}).Amount; total != 500 {
		t.Errorf("the booking is billed with %d micro-units, want 500", total)
	}
}

// copyRecords copies the cluster's records to the store of a stand-in process.
func copyRecords(t *testing.T, c *cluster, store dialect.Store) {
	t.Helper()
	kvs, _, err := c.store.List(context.Background(), "config/")
	if err != nil {
		t.Fatal(err)
	}
	for _, kv := range kvs {
		if _, err := store.CompareAndSwap(context.Background(), dialect.Write{Key: kv.Key, Value: kv.Value}); err != nil {
			t.Fatal(err)
		}
	}
}

func putBackend(t *testing.T, store dialect.Store, name, addr string, record config.BackendServer) {
	t.Helper()
	record.VM, record.AgentAddr, record.State = name, addr, config.BackendServerIn
	if err := embedded.PutRecord(context.Background(), store, config.KindBackendServer, name, &record); err != nil {
		t.Fatal(err)
	}
}

type bookingCall struct {
	Body     string `json:"body"`
	Answered bool   `json:"answered"`
}

func readBookingCalls(t *testing.T, url string) []bookingCall {
	t.Helper()
	resp, err := http.Get(url + "/standin/record")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	var calls []bookingCall
	if err := json.Unmarshal(b, &calls); err != nil {
		t.Fatal(err)
	}
	return calls
}
