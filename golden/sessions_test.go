package golden

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"hyssoploom/config"
	"hyssoploom/dialect"
	"hyssoploom/embedded"
)

// Guards against changes of a plain answer that are visible to callers.
func TestPlainChat(t *testing.T) {
	tr := newTranscript(t, embedded.DefaultSpec())
	tr.send("entry-jylland", http.MethodGet, "/v1/models", "key-aljibe", "")
	tr.chat("entry-jylland", "small", "When is the hall open?")
	tr.compare("plain-chat")
}

// Guards against changes of the event stream, its end and its usage that are visible to
// callers.
func TestStreamedChat(t *testing.T) {
	tr := newTranscript(t, embedded.DefaultSpec())
	tr.send("entry-jylland", http.MethodPost, "/v1/chat/completions", "key-aljibe",
		`{"model":"medium","stream":true,"stream_options":{"include_usage":true},"max_tokens":4,"messages":[{"role":"user","content":"Quote a repair."}]}`)
	tr.compare("streamed-chat")
}

// Guards against a cascade that delivers an answer that its rater rejected.
func TestCascadeEscalates(t *testing.T) {
	spec := embedded.DefaultSpec()
	spec.Judge = func(r dialect.RateRequest, _ float64) bool { return r.Model == "large" }
	tr := newTranscript(t, spec)
	tr.note("The rater accepts answers of model large only.")
	for range 3 {
		tr.chat("entry-sjaelland", "auto", "Summarise the inspection.", "X-Task-Class", "inspection-summary")
	}
	tr.compare("cascade-escalates")
}

func smallModel(old config.VersionState) *config.Model {
	return &config.Model{Versions: []config.ModelVersion{
		{Version: "1", State: old, OnWithdraw: config.WithdrawRefuse, PriceIn: 1, PriceOut: 1},
		{Version: "2", State: config.VersionActive, Weight: 1, PriceIn: 1, PriceOut: 1},
	}}
}

// Guards against a session that changes its version during a rollout, and against one
// that continues on a withdrawn version.
func TestSessionAcrossRollOut(t *testing.T) {
	tr := newTranscript(t, embedded.DefaultSpec())
	tr.chat("entry-jylland", "small", "When is the hall open?")

	tr.note("Version 2 is rolled out; version 1 is draining.")
	if err := tr.fleet.AddBackend(t.Context(), embedded.EngineSpec("small-2", "jylland", "small", "2")); err != nil {
		t.Fatal(err)
	}
	tr.put(config.KindModel, "small", smallModel(config.VersionDraining))
	tr.eventually("both versions are served", func() bool {
		return tr.fleet.Entries["entry-sjaelland"].Entry.Serving("small", "2") && tr.inForce()
	})
	tr.chat("entry-sjaelland", "small", "And on Sunday?")
	session := tr.token
	tr.note("Another session starts.")
	tr.token = ""
	tr.chat("entry-sjaelland", "small", "When is the hall open?")

	tr.note("Version 1 is withdrawn.")
	tr.put(config.KindModel, "small", smallModel(config.VersionWithdrawn))
	tr.eventually("the withdrawal is in force", tr.inForce)
	tr.token = session
	tr.chat("entry-jylland", "small", "And at night?")
	tr.compare("session-across-roll-out")
}

// Guards against a duplicate that books twice, and against a key that is reused for
// another booking.
func TestBookingAndDuplicate(t *testing.T) {
	tr := newTranscript(t, embedded.DefaultSpec())
	for _, entry := range []string{"entry-jylland", "entry-sjaelland"} {
		tr.send(entry, http.MethodPost, "/services/booking/bookings", "key-aljibe", `{"crew":2}`, "Idempotency-Key", "visit-7")
	}
	tr.send("entry-jylland", http.MethodPost, "/services/booking/bookings", "key-aljibe", `{"crew":3}`, "Idempotency-Key", "visit-7")
	tr.send("entry-jylland", http.MethodPost, "/services/booking/bookings", "key-brydemaatte", `{"crew":3}`, "Idempotency-Key", "visit-7")
	tr.compare("booking-and-duplicate")
}

// Guards against refusals that are not JSON, lack the field run, or allow a workspace
// to use a model or service it has no grant for.
func TestRefusals(t *testing.T) {
	tr := newTranscript(t, embedded.DefaultSpec())
	const chat = "/v1/chat/completions"
	tr.send("entry-jylland", http.MethodPost, chat, "key-unknown", `{}`)
	tr.send("entry-jylland", http.MethodPost, chat, "key-aljibe", `{"model":`)
	tr.send("entry-jylland", http.MethodPost, chat, "key-aljibe", `{"model":"small","messages":[]}`)
	tr.send("entry-jylland", http.MethodPost, chat, "key-aljibe", `{"model":"large","messages":[{"role":"user","content":"x"}]}`)
	tr.send("entry-jylland", http.MethodPost, chat, "key-aljibe", `{"model":"small","messages":[{"role":"user","content":"x"}]}`, "X-Session-Token", "forged")
	tr.send("entry-jylland", http.MethodPost, "/services/laundry/x", "key-aljibe", `{}`)
	tr.send("entry-jylland", http.MethodGet, chat, "key-aljibe", "")
	tr.send("entry-jylland", http.MethodGet, "/nothing", "key-aljibe", "")
	tr.compare("refusals")
}

// Guards against a data centre that still receives work after it was taken out of
// service, or receives none after its return.
func TestDataCentreOutAndBack(t *testing.T) {
	tr := newTranscript(t, embedded.DefaultSpec())
	setDataCentre := func(state config.DataCentreState) {
		tr.put(config.KindDataCentre, "jylland", &config.DataCentre{Region: "west", State: state, Grace: config.Duration(time.Second)})
		tr.eventually("the record is in force", tr.inForce)
	}
	tr.chat("entry-jylland", "small", "Before.")
	tr.note("Jylland is taken out.")
	setDataCentre(config.DataCentreOut)
	tr.send("entry-jylland", http.MethodGet, "/readyz", "key-brydemaatte", "")
	tr.chat("entry-jylland", "small", "The balancer has not noticed yet.")
	tr.chat("entry-sjaelland", "small", "During.")
	tr.note("Jylland is back.")
	setDataCentre(config.DataCentreIn)
	tr.send("entry-jylland", http.MethodGet, "/readyz", "key-brydemaatte", "")
	tr.chat("entry-jylland", "small", "After.")
	tr.compare("data-centre-out-and-back")
}

func (tr *transcript) put(kind config.Kind, name string, spec any) {
	tr.t.Helper()
	if err := tr.fleet.Put(tr.t.Context(), kind, name, spec); err != nil {
		tr.t.Fatal(err)
	}
}

// inForce reports whether all processes have the newest records.
func (tr *transcript) inForce() bool { return tr.fleet.ConfigApplied() }

// Guards against requests over a limit that are answered with something other than
// JSON.
func TestLimits(t *testing.T) {
	tr := newTranscript(t, embedded.DefaultSpec())
	const chat = "/v1/chat/completions"
	tr.hideBodies = true
	tr.send("entry-jylland", http.MethodPost, chat, "key-aljibe", `{"model":"small","pad":"`+strings.Repeat("x", 600<<10)+`"}`)
	tr.send("entry-jylland", http.MethodPost, chat, "key-aljibe", `{}`, "X-Task-Class", strings.Repeat("x", 40<<10))
	tr.send("entry-jylland", http.MethodPost, chat, "key-aljibe", `{"model":"small","messages":[{"role":"user","content":"x"}]}`, "X-Task-Class", strings.Repeat("x", 65))
	tr.send("entry-jylland", http.MethodPost, "/services/booking/bookings", "key-aljibe", `{}`, "Idempotency-Key", "no spaces")
	tr.compare("limits")
}

// Guards against an operator who overwrites another operator's change without seeing
// it.
func TestApplyLosesRace(t *testing.T) {
	tr := newTranscript(t, embedded.DefaultSpec())
	dir := t.TempDir()
	tr.directory = dir
	write := func(weight string) {
		text := "[workspace.aljibe]\nkey_hashes = [\"" + embedded.HashAPIKey("key-aljibe") + "\"]\nallow = [{ model = \"small\" }]\nweight = " + weight + "\n"
		if err := os.WriteFile(filepath.Join(dir, "workspaces.toml"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	// The other operator's write happens between the read and the write of apply.
	var race sync.Once
	handler := tr.fleet.Store.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/swap" {
			race.Do(func() {
				tr.put(config.KindWorkspace, "aljibe", &config.Workspace{
					KeyHashes: []string{embedded.HashAPIKey("key-aljibe")}, Allow: []config.ModelGrant{{Model: "medium"}}, Weight: 3,
				})
			})
		}
		handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	write("2.0")
	tr.runCommand("check", dir)
	tr.runCommand("diff", dir, "--store", server.URL)
	tr.note("Another operator is faster.")
	tr.runCommand("apply", dir, "--store", server.URL, "--writer", "night-shift")
	tr.runCommand("get", "workspace", "aljibe", "--store", server.URL)
	tr.note("This operator has seen the difference and applies again.")
	tr.runCommand("apply", dir, "--store", server.URL, "--writer", "night-shift")
	write("-1.0")
	tr.runCommand("check", dir)
	tr.compare("apply-loses-a-race")
}

// Guards against a store outage that stops requests that do not need the store, and
// against "not run" for a call that an earlier request may have run.
func TestStoreOutage(t *testing.T) {
	tr := newTranscript(t, embedded.DefaultSpec())
	tr.chat("entry-jylland", "small", "Before the outage.")
	tr.note("The store is down.")
	tr.fleet.Store.SetDown(true)
	tr.chat("entry-sjaelland", "small", "A session that sends its token.")
	tr.token = ""
	tr.chat("entry-jylland", "small", "A session that sends an id only.", "X-Session-Id", "tablet-4")
	const bookings = "/services/booking/bookings"
	tr.send("entry-jylland", http.MethodPost, bookings, "key-aljibe", `{"crew":2}`, "Idempotency-Key", "visit-7")
	tr.omitRequestIDs = true
	tr.send("entry-jylland", http.MethodPost, bookings, "key-aljibe", `{"crew":2}`)
	tr.send("entry-jylland", http.MethodGet, bookings, "key-aljibe", "")
	tr.compare("store-outage")
}
