// Package invariants tests the guarantees of the whole system on an embedded fleet
// under faults. docs/PROOFS.md lists the tests by requirement.
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
	brydemaatteKey = "key-brydemaatte"
	aljibeKey      = "key-aljibe"
	waitTimeout    = time.Minute
)

// fleet is an embedded fleet under test.
type fleet struct {
	*embedded.Fleet
	t *testing.T
}

func startFleet(t *testing.T, spec embedded.Spec) *fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
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

// oneDataCentreSpec describes a fleet with one data centre, two entries, the given
// engines and a booking runner.
func oneDataCentreSpec(engines ...embedded.BackendSpec) embedded.Spec {
	return embedded.Spec{
		Entries: []embedded.EntrySpec{{Name: "entry-1", DataCentre: "jylland"}, {Name: "entry-2", DataCentre: "jylland"}},
		Backends: append(engines, embedded.BackendSpec{
			Name: "booking", DataCentre: "jylland", Service: "booking", ColdLimit: 4, WarmLimit: 16,
		}),
	}
}

// engineSpec describes an engine that serves version 1 of the model with answers of the
// given length.
func engineSpec(name, model string, tokens int, tokenDelay time.Duration) embedded.BackendSpec {
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

// putAndWait writes a record and waits until every process has it.
func (f *fleet) putAndWait(kind config.Kind, name string, spec any) {
	f.t.Helper()
	f.put(kind, name, spec)
	eventually(f.t, "the record is in force", f.ConfigApplied)
}

// response is the result of a request as its caller sees it.
type response struct {
	id     string // request id
	status int
	header http.Header
	body   string
	err    error
}

// errorDetail is the error in a response body or in the last event of a stream.
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

// content returns the text of a plain answer, or the joined text of all events of a
// stream.
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

// request describes one request of a caller.
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
	// Connections are not reused, so that a killed entry cannot fail a later request.
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return response{id: r.id, err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return response{id: r.id, status: resp.StatusCode, header: resp.Header, body: string(b), err: err}
}

// chat builds a chat request of the workspace brydemaatte.
func chat(id, entry, model, text string, stream bool) request {
	return request{
		id: id, entry: entry, path: "/v1/chat/completions", key: brydemaatteKey,
		body: fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":%q}]}`, model, stream, text),
	}
}

// booking builds a booking request of the workspace aljibe.
func booking(id, entry, idempotencyKey string) request {
	r := request{id: id, entry: entry, path: "/services/booking/bookings", key: aljibeKey, body: `{"crew":2}`}
	if idempotencyKey != "" {
		r.header = map[string]string{"Idempotency-Key": idempotencyKey}
	}
	return r
}

// engineRuns returns the runs of all engines by request id.
func (f *fleet) engineRuns() map[string][]standin.EngineRun {
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

func (f *fleet) readLedger() *ledger.RowSet {
	f.t.Helper()
	rows, err := ledger.Read(context.Background(), f.Store)
	if err != nil {
		f.t.Fatal(err)
	}
	return rows
}

// eventually polls until f returns true and fails the test after waitTimeout.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !f() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// rawClient is a link client that sends arbitrary requests to an agent without the
// checks of an entry, as a faulty entry would.
type rawClient struct{ linkClient *link.Client }

func (f *fleet) newRawClient(backend string) *rawClient {
	f.t.Helper()
	client := link.NewClient(link.ClientConfig{
		Addr: f.Backends[backend].Record(config.BackendServerIn).AgentAddr, ExpectedPeer: backend,
		FleetKey: []byte(embedded.FleetKey), Hello: link.Hello{Name: "raw", BootID: "raw-" + f.t.Name()},
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
	eventually(f.t, "the raw client is connected", func() bool { return client.Status().Alive })
	return &rawClient{linkClient: client}
}

// run sends one request and returns the text of the answer, its end frame, and the
// refusal or error.
func (s *rawClient) run(ctx context.Context, r link.Request) (string, *link.End, error) {
	r.Kind = link.KindChat
	if r.Service != "" {
		r.Kind = link.KindService
	}
	if r.Deadline == 0 {
		r.Deadline = s.linkClient.Status().AgentClock(time.Now()) + waitTimeout
	}
	r.Body = []byte(`{"messages":[{"role":"user","content":"x"}]}`)
	stream, err := s.linkClient.Open(ctx, &r)
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
