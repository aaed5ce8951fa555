// Package golden compares transcripts of whole sessions with the golden files in
// testdata.
package golden

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"hyssoploom/cli"
	"hyssoploom/embedded"
)

// transcript records the requests and responses of one session in readable form.
type transcript struct {
	t        *testing.T
	fleet    *embedded.Fleet
	text     bytes.Buffer
	token    string
	requests int
	// hideBodies replaces long request bodies and headers by their length.
	hideBodies bool
	// omitRequestIDs lets the entry generate the request ids.
	omitRequestIDs bool
	// directory is replaced by ./records.
	directory string
}

// volatileValues are values that differ between runs and their replacements.
var volatileValues = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`"created":\d+`), `"created":0`},
	{regexp.MustCompile(`\b01[0-9A-HJKMNP-TV-Z]{24}\b`), "<id>"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "<addr>"},
	{regexp.MustCompile(`revision \d+`), "revision <n>"},
}

func newTranscript(t *testing.T, spec embedded.Spec) *transcript {
	t.Helper()
	spec.Seed = 1
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	fleet, err := embedded.Start(ctx, spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = fleet.Close() })
	if err := fleet.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return &transcript{t: t, fleet: fleet}
}

// note adds a comment line to the transcript.
func (tr *transcript) note(format string, args ...any) {
	fmt.Fprintf(&tr.text, "# "+format+"\n\n", args...)
}

// shownHeaders are the response headers included in a transcript.
var shownHeaders = []string{"X-Model-Version", "Retry-After", "Idempotency-Key", "Idempotent-Replayed", "Content-Type"}

// send sends one request through an entry and records the request and its response.
func (tr *transcript) send(entry, method, path, key, body string, header ...string) *http.Response {
	tr.t.Helper()
	tr.requests++
	req, err := http.NewRequest(method, tr.fleet.Entries[entry].URL+path, strings.NewReader(body))
	if err != nil {
		tr.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if !tr.omitRequestIDs {
		req.Header.Set("X-Request-Id", fmt.Sprintf("request-%d", tr.requests))
	}
	fmt.Fprintf(&tr.text, "> %s %s (%s, key %s)\n", method, path, entry, key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
		fmt.Fprintf(&tr.text, "> %s: %s\n", header[i], tr.abbreviate(header[i+1]))
	}
	if tr.token != "" {
		req.Header.Set("X-Session-Token", tr.token)
		fmt.Fprintln(&tr.text, "> X-Session-Token: <token of this session>")
	}
	if body != "" {
		fmt.Fprintf(&tr.text, "> %s\n", tr.abbreviate(body))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		tr.t.Fatal(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		tr.t.Fatal(err)
	}
	fmt.Fprintf(&tr.text, "< %d\n", resp.StatusCode)
	for _, name := range shownHeaders {
		if v := resp.Header.Get(name); v != "" {
			fmt.Fprintf(&tr.text, "< %s: %s\n", name, v)
		}
	}
	for line := range strings.SplitSeq(strings.TrimSpace(string(answer)), "\n") {
		if line != "" {
			fmt.Fprintf(&tr.text, "< %s\n", line)
		}
	}
	tr.text.WriteString("\n")
	return resp
}

// maxShownLength is the length in bytes above which hideBodies shows only the length.
const maxShownLength = 60

func (tr *transcript) abbreviate(text string) string {
	if tr.hideBodies && len(text) > maxShownLength {
		return fmt.Sprintf("<%d bytes>", len(text))
	}
	return text
}

// runCommand runs an operator command and records its output and exit code.
func (tr *transcript) runCommand(args ...string) {
	tr.t.Helper()
	fmt.Fprintf(&tr.text, "$ hyssoploom %s\n", strings.Join(args, " "))
	var out bytes.Buffer
	code := cli.Run(tr.t.Context(), cli.New(), args, &out, &out)
	fmt.Fprintf(&tr.text, "%sexit code %d\n\n", out.String(), code)
}

// chat sends one chat message in the session of the transcript.
func (tr *transcript) chat(entry, model, text string, header ...string) {
	tr.t.Helper()
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}]}`, model, text)
	resp := tr.send(entry, http.MethodPost, "/v1/chat/completions", "key-brydemaatte", body, header...)
	if token := resp.Header.Get("X-Session-Token"); token != "" {
		tr.token = token
	}
}

// compare compares the transcript with its golden file.
func (tr *transcript) compare(name string) {
	tr.t.Helper()
	text := tr.text.Bytes()
	if tr.directory != "" {
		text = bytes.ReplaceAll(text, []byte(tr.directory), []byte("./records"))
	}
	for _, v := range volatileValues {
		text = v.pattern.ReplaceAll(text, []byte(v.text))
	}
	goldie.New(tr.t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(".txt")).Assert(tr.t, name, text)
}

// eventually polls until f returns true and fails the test after 15 s.
func (tr *transcript) eventually(what string, f func() bool) {
	tr.t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for !f() {
		if time.Now().After(deadline) {
			tr.t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
