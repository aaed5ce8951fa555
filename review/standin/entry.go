package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// regions maps the zones of the deployment to their regions, as on the site aljibe-hub.
var regions = map[string]string{"maule-a": "maule", "biobio-a": "biobio", "coquimbo-a": "coquimbo"}

// memoryMB is the memory of an edge machine of the site aljibe-hub.
const memoryMB = 134

// entry is an entry of the system, run as a process of its own.
type entry struct {
	name, zone           string
	listen, ready, peers string
	settings, log        string
	process              *exec.Cmd
	exited               chan struct{} // closed when the process has ended
	journal              *journal
}

// freeAddress returns a loopback address with a free port.
func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// newEntries writes the settings of one entry for each of the zones. seeds are the
// addresses of the first three.
func newEntries(dir string, s *store, j *journal, zones ...string) ([]*entry, error) {
	var entries []*entry
	var seeds []string
	for i, zone := range zones {
		e := &entry{zone: zone, journal: j}
		for n := 1; ; n++ {
			e.name = fmt.Sprintf("edge-%s-%d", zone, n)
			if !nameTaken(entries, e.name) {
				break
			}
		}
		ip := fmt.Sprintf("127.0.0.%d", 10+i)
		for _, address := range []*string{&e.listen, &e.ready, &e.peers} {
			var err error
			if *address, err = freeAddress(ip); err != nil {
				return nil, err
			}
		}
		e.settings, e.log = filepath.Join(dir, e.name+".toml"), filepath.Join(dir, e.name+".log")
		if len(seeds) < 3 {
			seeds = append(seeds, strconv.Quote(e.peers))
		}
		entries = append(entries, e)
	}
	for _, e := range entries {
		if err := e.writeSettings(s, strings.Join(seeds, ",")); err != nil {
			return nil, err
		}
	}
	return entries, nil
}

func nameTaken(entries []*entry, name string) bool {
	for _, e := range entries {
		if e.name == name {
			return true
		}
	}
	return false
}

// writeSettings writes what the platform makes of deploy/gateway.toml with the values of
// the site aljibe-hub.
func (e *entry) writeSettings(s *store, seeds string) error {
	var zones strings.Builder
	for zone, region := range regions {
		fmt.Fprintf(&zones, "%q = %q\n", zone, region)
	}
	text := fmt.Sprintf(`name = %q
data_centre = %q
region = %q
listen = %q
ready_listen = %q
peer_listen = %q
seeds = [%s]
store_address = %q
memory_mb = %d

[data_centres]
%s
[bounds]
grace_s = 8
revoke_ms = 5000
strict_revocation = true
retry_ratio = 0.9
retry_slack = 54
retry_window_s = 10
exposure_share = 0.15
exposure_slack = 30
rollback_ms = 5000
cold_overshoot = 1.5
cold_slack = 5
session_s = 5
`, e.name, e.zone, regions[e.zone], e.listen, e.ready, e.peers, seeds, s.address, memoryMB, zones.String())
	return os.WriteFile(e.settings, []byte(text), 0o600)
}

// start starts the process as the deploy file says.
func (e *entry) start(program string) error {
	out, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	e.process = exec.Command(program, "gateway")
	e.process.Env = []string{"HYSSOPLOOM_CONFIG=" + e.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	e.process.Stdout, e.process.Stderr = out, out
	if err := e.process.Start(); err != nil {
		return err
	}
	e.journal.printf("%s: started", e.name)
	exited := make(chan struct{})
	e.exited = exited
	process := e.process
	go func() {
		err := process.Wait()
		e.journal.printf("%s: ended (%v)", e.name, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (e *entry) signal(s syscall.Signal) {
	e.journal.printf("%s: %v is sent", e.name, s)
	_ = e.process.Process.Signal(s) // it may have ended
}

// end kills the process and waits for its end.
func (e *entry) end() {
	if e.process == nil || e.process.Process == nil {
		return
	}
	_ = e.process.Process.Kill()
	<-e.exited
}

// isReady asks for the readiness of the entry as the platform does.
func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + e.ready + "/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until the entry is ready.
func (e *entry) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if e.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready after %v", e.name, limit)
}

// residentMB returns the memory of the process in MB, 0 when it has ended.
func (e *entry) residentMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kB, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kB >> 10
		}
	}
	return 0
}
