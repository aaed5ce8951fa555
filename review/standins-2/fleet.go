package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// heartbeat is heartbeatMs of the settings. An entry in the store is removed after three
// intervals of silence.
const heartbeat = 1200 * time.Millisecond

// world is one deployment: a store, runners and entries, all on loopback addresses.
type world struct {
	site    site
	store   *store
	folder  string // temporary
	record  *os.File
	start   time.Time
	entries []*entryProcess
	runners []*runnerProcess

	mu      sync.Mutex
	reports []report
	ending  bool
}

func newWorld(site site, recordPath string) *world {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		unable(err)
	}
	record, err := os.Create(recordPath)
	if err != nil {
		unable(err)
	}
	running = &world{site: site, store: newStore(), folder: folder, record: record, start: time.Now()}
	return running
}

// note writes a line to record.txt.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// end stops all processes and returns the exit code of the case.
func (w *world) end(broken bool) int {
	w.mu.Lock()
	w.ending = true
	w.mu.Unlock()
	for _, e := range w.entries {
		w.kill(e)
	}
	for _, r := range w.runners {
		r.kill()
		<-r.gone
	}
	_ = os.RemoveAll(w.folder)
	if broken {
		w.note("RULE BROKEN")
		return 1
	}
	w.note("rule held")
	return 0
}

// reportsOf returns the reports for which keep returns true.
func (w *world) reportsOf(keep func(report) bool) []report {
	w.mu.Lock()
	defer w.mu.Unlock()
	var kept []report
	for _, r := range w.reports {
		if keep(r) {
			kept = append(kept, r)
		}
	}
	return kept
}

// since returns the time of a Unix time in milliseconds in the record.
func (w *world) since(ms int64) time.Duration { return time.UnixMilli(ms).Sub(w.start) }

type runnerProcess struct {
	w             *world
	config        runnerConfig
	service, zone string
	version       string
	draining      atomic.Bool
	down          time.Duration // between a crash and the next start; not started again if negative
	slots         int

	mu   sync.Mutex
	cmd  *exec.Cmd
	gone chan struct{} // closed when it is not started again
}

// startRunner keeps a runner running; after a crash it is started again with a new id.
func (w *world) startRunner(service, zone string, slots int, down time.Duration, config runnerConfig) *runnerProcess {
	return w.startVersion(service, zone, "v1", slots, down, config)
}

// startVersion is startRunner with a version of the runner's software.
func (w *world) startVersion(service, zone, version string, slots int, down time.Duration, config runnerConfig) *runnerProcess {
	if config.Address == "" {
		config.Address = freeAddress()
	}
	r := &runnerProcess{w: w, config: config, service: service, zone: zone, version: version, slots: slots, down: down, gone: make(chan struct{})}
	w.runners = append(w.runners, r)
	started := make(chan struct{}, 1000)
	go func() {
		defer close(r.gone)
		for n := 1; !w.isEnding(); n++ {
			r.run(fmt.Sprintf("%s-%d", config.ID, n), started)
			if r.down < 0 {
				return
			}
			if !w.isEnding() {
				time.Sleep(r.down)
			}
		}
	}()
	<-started
	return r
}

func (w *world) isEnding() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ending
}

func (r *runnerProcess) kill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		_ = r.cmd.Process.Kill()
	}
}

// run runs one incarnation of the runner and its entry in the store.
func (r *runnerProcess) run(id string, started chan<- struct{}) {
	config := r.config
	config.ID, config.Born = id, time.Now().UnixMilli()
	encoded, err := json.Marshal(config)
	if err != nil {
		unable(err)
	}
	cmd := exec.Command(os.Args[0], "runner", string(encoded))
	stdin, err := cmd.StdinPipe()
	if err != nil {
		unable(err)
	}
	defer stdin.Close()
	out, err := cmd.StdoutPipe()
	if err != nil {
		unable(err)
	}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		unable(err)
	}
	r.mu.Lock()
	r.cmd = cmd
	r.mu.Unlock()
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		_ = cmd.Wait()
		return
	}
	r.w.note("runner %s (%s) starts at %s", id, r.service, config.Address)
	ended := make(chan struct{})
	go r.register(config, ended)
	started <- struct{}{}
	for lines.Scan() {
		var line report
		if json.Unmarshal(lines.Bytes(), &line) == nil {
			r.w.mu.Lock()
			r.w.reports = append(r.w.reports, line)
			r.w.mu.Unlock()
			r.w.note("runner %s: request %s %s%s", id, line.Request, line.What, details(line))
		}
	}
	_ = cmd.Wait()
	close(ended)
	r.w.note("runner %s has ended", id)
}

func details(line report) string {
	s := ""
	if line.Parts != "" {
		s += ", parts " + line.Parts
	}
	if line.After != "" {
		s += ", after event " + line.After
	}
	return s
}

// register writes the runner's entry in the store at each heartbeat, and removes it after three
// intervals of silence.
func (r *runnerProcess) register(config runnerConfig, ended <-chan struct{}) {
	for sequence := 1; ; sequence++ {
		state := "ready"
		if r.draining.Load() {
			state = "draining"
		}
		r.w.store.put("servers/"+config.ID, map[string]any{
			"service": r.service, "address": config.Address, "zone": r.zone, "version": r.version, "slots": r.slots,
			"state": state, "coldRemainingMs": 0, "sequence": sequence, "born": config.Born,
		})
		select {
		case <-ended:
			time.Sleep(3 * heartbeat)
			r.w.store.remove("servers/" + config.ID)
			return
		case <-time.After(heartbeat):
		}
	}
}

type entryProcess struct {
	name, front, ready string
	settings, log      string // paths
	cmd                *exec.Cmd
}

// site holds what differs between the settings of two sites.
type site struct {
	zones      [][2]string // with their regions
	memoryMB   int
	retrySlack int
}

var (
	aljibeHub = site{[][2]string{{"maule-a", "maule"}, {"biobio-a", "biobio"}, {"coquimbo-a", "coquimbo"}}, 134, 54}
	maatteNet = site{[][2]string{{"jylland-a", "jylland"}, {"sjaelland-a", "sjaelland"}, {"fyn-a", "fyn"}}, 284, 58}
)

// startEntries starts an entry in each zone and waits until they are ready.
func (w *world) startEntries() {
	seed := freeAddress()
	for i, z := range w.site.zones {
		w.startEntry(fmt.Sprintf("edge-%d", i+1), z[0], z[1], seed)
	}
	w.awaitReady()
}

// startEntry starts an entry with the command of the deploy file. seed is the peer address of the
// first entry.
func (w *world) startEntry(name, zone, region, seed string) *entryProcess {
	e := &entryProcess{name: name, front: freeAddress(), ready: freeAddress(), settings: filepath.Join(w.folder, name+".toml"), log: filepath.Join(w.folder, name+".log")}
	control := seed
	if len(w.entries) > 0 {
		control = freeAddress()
	}
	centres := ""
	for _, z := range w.site.zones {
		centres += fmt.Sprintf("%q = %q\n", z[0], z[1])
	}
	settings := fmt.Sprintf(`name = %q
data_centre = %q
region = %q
listen = %q
ready_listen = %q
peer_listen = %q
metrics_listen = %q
seeds = [%q]
store_address = %q
memory_mb = %d
cpu_share = 0.304
max_descriptors = 4100
link_mbps = 1000.0
features = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "rollout"]

[data_centres]
%s
[bounds]
grace_s = 8
revoke_ms = 5000
strict_revocation = true
retry_ratio = 0.9
retry_slack = %d
retry_window_s = 10
exposure_share = 0.15
exposure_slack = 30
rollback_ms = 5000
cold_overshoot = 1.5
cold_slack = 5
session_s = 5
`, name, zone, region, e.front, e.ready, control, freeAddress(), seed, w.store.address(), w.site.memoryMB, centres, w.site.retrySlack)
	if err := os.WriteFile(e.settings, []byte(settings), 0o600); err != nil {
		unable(err)
	}
	w.entries = append(w.entries, e)
	w.run(e)
	return e
}

// run starts the process of an entry.
func (w *world) run(e *entryProcess) {
	log, err := os.OpenFile(e.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		unable(err)
	}
	defer log.Close()
	e.cmd = exec.Command("target/hyssoploom", "gateway")
	e.cmd.Env = append(os.Environ(), "HYSSOPLOOM_CONFIG="+e.settings)
	e.cmd.Stdout, e.cmd.Stderr = log, log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with the case
	if err := e.cmd.Start(); err != nil {
		unable(err)
	}
	w.note("entry %s starts at %s", e.name, e.front)
}

// kill kills the process of an entry and waits for its end.
func (w *world) kill(e *entryProcess) {
	_ = e.cmd.Process.Kill()
	_ = e.cmd.Process.Signal(syscall.SIGCONT)
	_ = e.cmd.Wait()
	w.note("entry %s is killed", e.name)
}

func (e *entryProcess) signal(s syscall.Signal) {
	if err := e.cmd.Process.Signal(s); err != nil {
		unable(err)
	}
}

// isReady asks an entry's readiness.
func (e *entryProcess) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + e.ready + "/readiness")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all entries are ready.
func (w *world) awaitReady() {
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range w.entries {
			if e.isReady() {
				ready++
			}
		}
		if ready == len(w.entries) {
			return
		}
		if time.Now().After(end) {
			unable(fmt.Errorf("%d of %d entries are ready", ready, len(w.entries)))
		}
	}
}

// answer is what a client sees.
type answer struct {
	status   int // 0 without an answer
	seal     string
	body     string
	complete bool // the body ended as a complete one does
}

// ask sends a request on a new channel.
func ask(e *entryProcess, key string, timeout time.Duration, method, path, id string, header ...string) answer {
	conn, err := net.DialTimeout("tcp", e.front, time.Second)
	if err != nil {
		return answer{}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: crew.example\r\nX-Request-Id: %s\r\nX-Key: %s\r\nX-Deadline-Ms: %d\r\n", method, path, id, key, timeout.Milliseconds())
	for _, h := range header {
		b.WriteString(h + "\r\n")
	}
	if method == http.MethodPost {
		b.WriteString("Content-Length: 6\r\n\r\nprompt")
	} else {
		b.WriteString("\r\n")
	}
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return answer{}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{}
	}
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header.Get("X-Response-Seal"), string(body), err == nil}
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable(err)
	}
	return l
}

// usedPorts holds the ports that freeAddress has returned.
var usedPorts = make(map[int]bool)

// freeAddress returns a loopback address with a free port. The port is below those that the system
// gives to outgoing channels, which could take it before its process does.
func freeAddress() string {
	for range 1000 {
		port := 12000 + rand.IntN(18000)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if usedPorts[port] {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			usedPorts[port] = true
			_ = l.Close() // nothing has connected
			return address
		}
	}
	unable(errors.New("no free port"))
	return ""
}

func fatal(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(2)
}

// running is the world of the case; nil before it is made.
var running *world

// unable ends a case that cannot run, with all processes that it started.
func unable(err error) {
	if running != nil {
		for _, e := range running.entries {
			_ = e.cmd.Process.Kill()
		}
	}
	fatal(fmt.Errorf("the case could not run: %w", err)) // runners end when their standard input does
}
