package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// place is a machine of the deployment that runs an entry.
type place struct{ name, zone string }

// restartDelay is how long after its end a killed process is started again.
const restartDelay = 690 * time.Millisecond

// entry is a process of the system, started with the command of the deploy file.
type entry struct {
	place
	log          *record
	settings     string
	front, ready string
	cmd          *exec.Cmd
	output       *os.File
	exited       chan struct{}
}

// zones are the zones of the deployment with their regions.
var zones = map[string]string{"north-a": "north", "south-a": "south"}

// deployment is what the settings of its entries hold, as the platform fills in
// deploy/gateway.toml.
type deployment struct {
	store    string
	memoryMB int
	features []string
	bounds   string
}

// standardBounds are those of the sheet of aljibe-hub.
const standardBounds = `grace_s = 8
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
`

var standardFeatures = []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "rollout"}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// newEntries writes the settings of entries into dir.
func newEntries(log *record, dir string, d deployment, places []place) ([]*entry, error) {
	var entries []*entry
	var peers, quotedSeeds []string
	for range places {
		a, err := freeAddress()
		if err != nil {
			return nil, err
		}
		peers = append(peers, a)
		if len(quotedSeeds) < 3 {
			quotedSeeds = append(quotedSeeds, fmt.Sprintf("%q", a))
		}
	}
	for i, p := range places {
		e := &entry{place: p, log: log, settings: filepath.Join(dir, p.name+".toml")}
		var err, errReady error
		e.front, err = freeAddress()
		e.ready, errReady = freeAddress()
		if err := errors.Join(err, errReady); err != nil {
			return nil, err
		}
		var s strings.Builder
		fmt.Fprintf(&s, "name = %q\ndata_centre = %q\nregion = %q\nlisten = %q\nready_listen = %q\npeer_listen = %q\n",
			p.name, p.zone, zones[p.zone], e.front, e.ready, peers[i])
		fmt.Fprintf(&s, "seeds = [%s]\nstore_address = %q\nmemory_mb = %d\ncpu_share = 0.304\nmax_descriptors = 4100\nlink_mbps = 1000.0\n",
			strings.Join(quotedSeeds, ","), d.store, d.memoryMB)
		fmt.Fprintf(&s, "features = [\"%s\"]\n[data_centres]\n", strings.Join(d.features, `","`))
		for zone, region := range zones {
			fmt.Fprintf(&s, "%q = %q\n", zone, region)
		}
		s.WriteString("[bounds]\n" + d.bounds)
		if err := os.WriteFile(e.settings, []byte(s.String()), 0o600); err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// start starts the process of the entry.
func (e *entry) start() error {
	output, err := os.OpenFile(e.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/hyssoploom", "gateway")
	cmd.Env = append(os.Environ(), "HYSSOPLOOM_CONFIG="+e.settings)
	cmd.Stdout, cmd.Stderr = output, output
	// The process ends with this one.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // how it ended shows in the log
		output.Close()
		close(exited)
	}()
	e.cmd, e.output, e.exited = cmd, output, exited
	e.log.add(e.name, "started")
	return nil
}

func (e *entry) signal(s syscall.Signal) {
	e.log.add(e.name, "gets %s", s)
	_ = e.cmd.Process.Signal(s) // it may have ended
}

// kill ends the process and waits for its end.
func (e *entry) kill() {
	if e.cmd == nil {
		return
	}
	_ = e.cmd.Process.Kill() // it may have ended
	<-e.exited
}

// isReady asks the entry as the platform does.
func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + e.ready + "/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all entries are ready.
func awaitReady(entries []*entry) error {
	for _, e := range entries {
		end := time.Now().Add(10 * time.Second)
		for !e.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}
