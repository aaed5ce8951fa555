// Package bodies measures the memory of an entry, and what it serves, beside requests with
// large bodies.
package bodies

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hyssoploom/internal/process"
	"hyssoploom/platform/fake"
)

var (
	largeSenders = flag.String("bodies.senders", "0,40", "numbers of clients that send large bodies, one run each")
	length       = flag.Duration("bodies.length", 2*time.Second, "length of a run")
)

const (
	memoryMB     = 134 // of the smallest VM of a standard deployment
	maxBody      = 4 << 20
	smallClients = 8
	// largeWork is how long a backend server works on a request with a large body.
	largeWork = time.Second
	host      = "club.example"
	zone      = "fyn-a"
)

// result is what one run has measured.
type result struct {
	peakMB                       int
	small, smallFailed           int64
	large, largeServed, rejected int64
}

// Guards against an entry that exceeds the memory of its VM, or fails small requests, beside
// many large bodies. With -v it prints the table of docs/MEASUREMENTS.md.
func TestMeasureBodies(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "hyssoploom")
	if out, err := exec.Command("go", "build", "-o", binary, "hyssoploom/cmd/hyssoploom").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	t.Logf("%8s %8s %12s %12s %8s %8s %8s", "senders", "peak MB", "small/s", "small failed", "large", "served", "rejected")
	for _, text := range strings.Split(*largeSenders, ",") {
		senders, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		r := run(t, binary, senders)
		t.Logf("%8d %8d %12.0f %12d %8d %8d %8d", senders, r.peakMB, float64(r.small)/length.Seconds(), r.smallFailed, r.large, r.largeServed, r.rejected)
		if r.peakMB > memoryMB {
			t.Errorf("beside %d senders: %d MB of %d", senders, r.peakMB, memoryMB)
		}
		if r.smallFailed > 0 || r.small == 0 {
			t.Errorf("beside %d senders: %d of %d small requests failed", senders, r.smallFailed, r.small)
		}
		if senders > 0 && r.largeServed == 0 {
			t.Errorf("none of %d large requests was served", r.large)
		}
	}
}

// run starts an entry and measures it for a while beside clients that send large bodies.
func run(t *testing.T, binary string, senders int) result {
	t.Helper()
	store := fake.NewStore(t)
	store.Put("op/config", configuration())
	for i := range 4 {
		s := fake.NewBackendServer(t, fmt.Sprintf("i-%d", i), func(conn net.Conn, r fake.Request) bool {
			if len(r.Body) == maxBody {
				time.Sleep(largeWork)
			}
			return fake.Respond(http.StatusOK, "answer")(conn, r)
		})
		record := s.Record("app", zone)
		record["slots"] = 400
		store.Put("servers/"+s.ID, record)
	}
	address, p := startEntry(t, binary, store)
	var r result
	stop := make(chan struct{})
	var clients sync.WaitGroup
	send := func(client *http.Client, body []byte, count func(status int, err error)) {
		for {
			select {
			case <-stop:
				return
			default:
			}
			status, err := post(client, address, body)
			count(status, err)
		}
	}
	for range smallClients {
		clients.Go(func() {
			send(&http.Client{Transport: &http.Transport{}}, []byte("small"), func(status int, err error) {
				atomic.AddInt64(&r.small, 1)
				if status != http.StatusOK || err != nil {
					atomic.AddInt64(&r.smallFailed, 1)
				}
			})
		})
	}
	large := bytes.Repeat([]byte("x"), maxBody)
	for range senders {
		clients.Go(func() {
			send(&http.Client{Transport: &http.Transport{}}, large, func(status int, _ error) {
				atomic.AddInt64(&r.large, 1)
				switch status {
				case http.StatusOK:
					atomic.AddInt64(&r.largeServed, 1)
				case http.StatusServiceUnavailable:
					atomic.AddInt64(&r.rejected, 1)
					time.Sleep(500 * time.Millisecond)
				}
			})
		})
	}
	for begun := time.Now(); time.Since(begun) < *length; time.Sleep(5 * time.Millisecond) {
		r.peakMB = max(r.peakMB, residentMB(p.Pid()))
	}
	close(stop)
	clients.Wait()
	p.Kill()
	return r
}

func configuration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{"name": "look", "host": host, "prefix": "/look/", "kind": "idempotent", "service": "app",
			"timeoutMs": 9000, "targetLatencyMs": 500, "maxAttempts": 3, "priority": 1}},
		"services": []any{map[string]any{"name": "app", "healthPath": "/health", "maxConnections": 500}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBody, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "club", "apiKeys": []string{"key-1"}, "priority": 1}},
	}
}

// startEntry starts an entry and waits until it serves.
func startEntry(t *testing.T, binary string, store *fake.Store) (address string, p *process.Process) {
	t.Helper()
	var addresses []any
	for range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, listener.Addr().String())
		listener.Close()
	}
	settings := filepath.Join(t.TempDir(), "settings.toml")
	text := fmt.Sprintf(`name = "e1"
data_centre = "fyn-a"
region = "fyn"
listen = %q
ready_listen = %q
peer_listen = %q
store_address = %q
memory_mb = %d

[data_centres]
fyn-a = "fyn"
`, append(addresses, store.Address(), memoryMB)...)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p = process.Start(t, func(line string) (string, bool) { return "", strings.Contains(line, "Starting.") }, binary, "gateway", "--settings", settings)
	address = addresses[0].(string)
	for begun := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		if status, err := post(http.DefaultClient, address, []byte("first")); err == nil && status == http.StatusOK {
			return address, p
		}
		if time.Since(begun) > 10*time.Second {
			t.Fatal("the entry does not serve")
		}
	}
}

var requestCount atomic.Int64

// post sends a request and reads its response.
func post(client *http.Client, address string, body []byte) (status int, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/look/a", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Host = host
	request.Header.Set("X-Request-Id", fmt.Sprintf("r%d", requestCount.Add(1)))
	request.Header.Set("X-Key", "key-1")
	request.Header.Set("X-Deadline-Ms", "9000")
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// residentMB returns the resident memory of a process in MiB, 0 if it has ended.
func residentMB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kB, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kB >> 10
		}
	}
	return 0
}
