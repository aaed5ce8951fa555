// Package e2e tests hyssoploom with its daemons as separate processes.
package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hyssoploom/config"
	"hyssoploom/embedded"
	"hyssoploom/internal/process"
	"hyssoploom/standin"
)

const fleetKey = "fleet-key-of-the-e2e-tests"

var (
	hyssoploomBinary string
	standinBinary    string
)

// buildBinaries compiles the binaries that the tests start.
func buildBinaries(dir string) error {
	hyssoploomBinary = filepath.Join(dir, "hyssoploom")
	standinBinary = filepath.Join(dir, "standin")
	for binary, pkg := range map[string]string{hyssoploomBinary: "hyssoploom/cmd/hyssoploom", standinBinary: "hyssoploom/cmd/standin"} {
		if out, err := exec.Command("go", "build", "-o", binary, pkg).CombinedOutput(); err != nil {
			return fmt.Errorf("build %s: %w\n%s", pkg, err, out)
		}
	}
	return nil
}

// startStandin starts a stand-in process and waits until it has printed its URL.
func startStandin(t *testing.T, args ...string) *process.Process {
	t.Helper()
	return process.Start(t, func(line string) (string, bool) { return line, strings.HasPrefix(line, "http://") }, standinBinary, args...)
}

// parseStarted extracts the listen address from the log line of a started daemon.
func parseStarted(line string) (string, bool) {
	var entry struct{ Message, Listen string }
	if json.Unmarshal([]byte(line), &entry) != nil || entry.Listen == "" {
		return "", false
	}
	return entry.Listen, strings.HasSuffix(entry.Message, "Started.")
}

// cluster is a set of daemon processes that use stand-ins for the platform.
type cluster struct {
	t *testing.T
	// The platform stand-ins run in the test process, so that tests can inject faults.
	store *standin.Store
	vms   *standin.VMList
	rater *standin.Rater

	storeURL, vmURL, raterURL string
	agents                    map[string]*process.Process
	entries                   map[string]*process.Process
}

// newCluster starts the platform stand-ins and writes the records of the embedded
// fleet.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{
		t: t, store: standin.NewStore(), vms: standin.NewVMList(), rater: standin.NewRater(standin.RaterOptions{}),
		agents: make(map[string]*process.Process), entries: make(map[string]*process.Process),
	}
	for url, handler := range map[*string]http.Handler{&c.storeURL: c.store.Handler(), &c.vmURL: c.vms.Handler(), &c.raterURL: c.rater.Handler()} {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		*url = server.URL
	}
	decls, err := embedded.Declarations()
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range decls {
		c.put(d.Kind, d.Name, d.Spec)
	}
	return c
}

func (c *cluster) put(kind config.Kind, name string, spec any) {
	c.t.Helper()
	if err := embedded.PutRecord(context.Background(), c.store, kind, name, spec); err != nil {
		c.t.Fatal(err)
	}
}

// writeSettings writes a settings file and returns its path.
func (c *cluster) writeSettings(name, text string) string {
	c.t.Helper()
	path := filepath.Join(c.t.TempDir(), name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

func (c *cluster) startEntry(name, dataCentre string) *process.Process {
	c.t.Helper()
	listen := "127.0.0.1:0"
	if old := c.entries[name]; old != nil {
		listen = old.Addr
	}
	path := c.writeSettings(name, fmt.Sprintf("name = %q\ndata_centre = %q\nlisten = %q\nstore_url = %q\nvm_list_url = %q\nrater_url = %q\nfleet_key = %q\ndrain_grace = \"40s\"\nrequest_timeout = \"30s\"\n",
		name, dataCentre, listen, c.storeURL, c.vmURL, c.raterURL, fleetKey))
	c.entries[name] = process.Start(c.t, parseStarted, hyssoploomBinary, "entry", "--settings", path)
	return c.entries[name]
}

// startAgent starts the agent of a backend server and writes its record.
func (c *cluster) startAgent(name, backendURL string, record config.BackendServer) *process.Process {
	c.t.Helper()
	kind, listen := "engine", "127.0.0.1:0"
	if record.Service != "" {
		kind = "service"
	}
	if old := c.agents[name]; old != nil {
		listen = old.Addr
	}
	path := c.writeSettings(name, fmt.Sprintf("name = %q\ndata_centre = %q\nlisten = %q\nbackend_url = %q\nbackend_kind = %q\nstore_url = %q\nvm_list_url = %q\nfleet_key = %q\ndrain_grace = \"40s\"\n",
		name, record.DataCentre, listen, backendURL, kind, c.storeURL, c.vmURL, fleetKey))
	c.agents[name] = process.Start(c.t, parseStarted, hyssoploomBinary, "agent", "--settings", path)
	record.VM, record.AgentAddr, record.State = name, c.agents[name].Addr, config.BackendServerIn
	if listen == "127.0.0.1:0" {
		c.put(config.KindBackendServer, name, &record)
	}
	return c.agents[name]
}

func engineRecord(dataCentre, model, version string) config.BackendServer {
	return config.BackendServer{
		DataCentre: dataCentre, Serves: []config.Placement{{Model: model, Version: version}},
		ColdLimit: 4, WarmLimit: 16, ChecksFencing: true,
	}
}

func bookingRecord(dataCentre string) config.BackendServer {
	return config.BackendServer{DataCentre: dataCentre, Service: "booking", ColdLimit: 4, WarmLimit: 16}
}

// response is the result of a request as its caller sees it.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// run returns the field "run" of an error body.
func (r response) run() string {
	var body struct {
		Error struct{ Run string }
	}
	_ = json.Unmarshal([]byte(r.body), &body)
	return body.Error.Run
}

// post sends a request through an entry.
func (c *cluster) post(entry, path, key, body string, header ...string) response {
	return c.postTo(c.entries[entry].Addr, path, key, body, header...)
}

// postTo sends a request to the entry at an address.
func (c *cluster) postTo(addr, path, key, body string, header ...string) response {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(b), err: err}
}

// chat sends a request with a single chat message.
func (c *cluster) chat(entry, model, text string, header ...string) response {
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}]}`, model, text)
	return c.post(entry, "/v1/chat/completions", "key-brydemaatte", body, header...)
}

// eventually polls until f returns true and fails the test after a minute.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	deadline := time.Now().Add(time.Minute)
	for !f() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
