// Package invariants proves, on an embedded fleet with faults, what must always
// hold; docs/PROOFS.md lists the tests by requirement.
package invariants

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"hyssoploom/config"
	"hyssoploom/embedded"
	"hyssoploom/ledger"
	"hyssoploom/link"
	"hyssoploom/standin"
)

const (
	clubKey  = "key-brydemaatte"
	crewKey  = "key-aljibe"
	waitTime = time.Minute
)

// fleet is an embedded fleet under test.
type fleet struct {
	*embedded.Fleet
	t *testing.T
}

func startFleet(t *testing.T, spec embedded.Spec) *fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTime)
	defer cancel()
	logs := &syncBuffer{}
	if spec.Logs == nil {
		spec.Logs = logs
	}
	spec.Seed = 1
	f, err := embedded.Start(ctx, spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = f.Close()
		if t.Failed() {
			t.Logf("logs:\n%s", logs)
		}
	})
	if err := f.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return &fleet{Fleet: f, t: t}
}

// oneCentre is a fleet with one data centre, two entries, the given engines
// and a booking runner.
func oneCentre(engines ...embedded.BackendSpec) embedded.Spec {
	return embedded.Spec{
		Entries: []embedded.EntrySpec{{Name: "entry-1", DataCentre: "jylland"}, {Name: "entry-2", DataCentre: "jylland"}},
		Backends: append(engines, embedded.BackendSpec{
			Name: "booking", DataCentre: "jylland", Service: "booking", ColdLimit: 4, WarmLimit: 16,
		}),
	}
}

// engine describes an engine of the model's version 1 with answers of the given
// length.
func engine(name, model string, tokens int, tokenDelay time.Duration) embedded.BackendSpec {
	spec := embedded.EngineSpec(name, "jylland", model, "1")
	spec.Engine.Tokens, spec.Engine.TokenDelay = tokens, tokenDelay
	return spec
}

func (f *fleet) put(kind config.Kind, name string, spec any) {
	f.t.Helper()
	if err := f.Put(f.t.Context(), kind, name, spec); err != nil {
		f.t.Fatal(err)
	}
}

// putInForce writes a record and waits until every process has it.
func (f *fleet) putInForce(kind config.Kind, name string, spec any) {
	f.t.Helper()
	f.put(kind, name, spec)
	eventually(f.t, "the record is in force", f.ConfigApplied)
}

// response is what a caller got.
type response struct {
	id     string // request id
	status int
	header http.Header
	body   string
	err    error
}

// errorDetail is the error of a body, or of the last event of a stream.
type errorDetail struct {
	Code string `json:"code"`
	Run  string `json:"run"`
}

func (r response) error() errorDetail {
	text := r.body
	if i := strings.LastIndex(text, "data: {\"error\""); i >= 0 {
		text = strings.TrimPrefix(text[i:], "data: ")
	}
	var body struct{ Error errorDetail }
	_ = json.Unmarshal([]byte(strings.TrimSpace(text)), &body)
	return body.Error
}

// content returns the text of a plain answer or of all events of a stream.
func (r response) content() string {
	var out strings.Builder
	for line := range strings.SplitSeq(r.body, "\n") {
		var doc struct {
			Choices []struct {
				Message, Delta struct{ Content string }
			}
		}
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &doc) == nil {
			for _, c := range doc.Choices {
				out.WriteString(c.Message.Content + c.Delta.Content)
			}
		}
	}
	return out.String()
}

// request is one request of a caller.
type request struct {
	id, entry, method, path, key, body string
	header                             map[string]string
}

func (f *fleet) send(r request) response {
	if r.method == "" {
		r.method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(f.t.Context(), r.method, f.Entries[r.entry].URL+r.path, strings.NewReader(r.body))
	if err != nil {
		return response{id: r.id, err: err}
	}
	req.Header.Set("Authorization", "Bearer "+r.key)
	if r.id != "" {
		req.Header.Set("X-Request-Id", r.id)
	}
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	// Without reuse of connections a killed entry cannot fail a later request.
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTime}
	resp, err := client.Do(req)
	if err != nil {
		return response{id: r.id, err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return response{id: r.id, status: resp.StatusCode, header: resp.Header, body: string(b), err: err}
}

// chat builds a chat request of the club.
func chat(id, entry, model, text string, stream bool) request {
	return request{
		id: id, entry: entry, path: "/v1/chat/completions", key: clubKey,
		body: fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":%q}]}`, model, stream, text),
	}
}

// booking builds a booking of a crew.
func booking(id, entry, onceKey string) request {
	r := request{id: id, entry: entry, path: "/services/booking/bookings", key: crewKey, body: `{"crew":2}`}
	if onceKey != "" {
		r.header = map[string]string{"Idempotency-Key": onceKey}
	}
	return r
}

// runs lists what all engines ran, by request id.
func (f *fleet) runs() map[string][]standin.EngineRun {
	out := make(map[string][]standin.EngineRun)
	for _, b := range f.Backends {
		if b.Engine != nil {
			for _, run := range b.Engine.Record().Runs {
				out[run.RequestID] = append(out[run.RequestID], run)
			}
		}
	}
	return out
}

// book reads the ledger.
func (f *fleet) book() *ledger.RowSet {
	f.t.Helper()
	book, err := ledger.Read(context.Background(), f.Store)
	if err != nil {
		f.t.Fatal(err)
	}
	return book
}

// eventually waits until f returns true.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTime)
	for !f() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// strayEntry is an entry process that ignores every rule: it sends whatever a
// test wants to an agent.
type strayEntry struct{ client *link.Client }

func (f *fleet) strayEntry(backend string) *strayEntry {
	f.t.Helper()
	client := link.NewClient(link.ClientConfig{
		Addr: f.Backends[backend].Record(config.BackendServerIn).AgentAddr, Expect: backend,
		FleetKey: []byte(embedded.FleetKey), Hello: link.Hello{Name: "stray", BootID: "stray-" + f.t.Name()},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = client.Serve(ctx)
	}()
	f.t.Cleanup(func() {
		cancel()
		<-done
	})
	eventually(f.t, "the stray entry is linked", func() bool { return client.Status().Alive })
	return &strayEntry{client: client}
}

// run sends one request and returns its text, its end and the refusal or error.
func (s *strayEntry) run(ctx context.Context, r link.Request) (string, *link.End, error) {
	r.Kind = link.KindChat
	if r.Service != "" {
		r.Kind = link.KindService
	}
	if r.Deadline == 0 {
		r.Deadline = s.client.Status().AgentClock(time.Now()) + waitTime
	}
	r.Body = []byte(`{"messages":[{"role":"user","content":"x"}]}`)
	stream, err := s.client.Open(ctx, &r)
	if err != nil {
		return "", nil, err
	}
	var text bytes.Buffer
	for {
		payload, err := stream.Recv(ctx)
		if err == io.EOF {
			return text.String(), stream.End(), nil
		}
		if err != nil {
			return text.String(), nil, err
		}
		text.Write(payload)
	}
}
