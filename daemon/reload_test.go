package daemon

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hyssoploom/settings"
	"hyssoploom/telemetry"
)

const validSettings = `name = "e1"
data_centre = "fyn-a"
region = "fyn"
listen = "127.0.0.1:7001"
ready_listen = "127.0.0.1:7002"
peer_listen = "127.0.0.1:7003"
store_address = "127.0.0.1:7004"

[data_centres]
fyn-a = "fyn"

[bounds]
grace_s = 8
revoke_ms = 5000
retry_window_s = 10
retry_slack = 10
`

type applied struct {
	mu    sync.Mutex
	slack []int
	log   bytes.Buffer
}

func (a *applied) Reconfigure(s *settings.Gateway) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slack = append(a.slack, s.Bounds.RetrySlack)
}

func (a *applied) Write(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.log.Write(p)
}

// await waits until the log has a text n times.
func (a *applied) await(t *testing.T, text string, n int) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		a.mu.Lock()
		found := strings.Count(a.log.String(), text)
		a.mu.Unlock()
		if found >= n {
			return
		}
	}
	t.Fatalf("not %d times in the log: %q\n%s", n, text, a.log.String())
}

// Guards against changed settings that are not noticed without a signal, invalid
// ones that are applied, and changes that silently do nothing.
func TestFollowSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.toml")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(validSettings)
	current, err := settings.LoadGateway(path)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	a := &applied{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = followSettings(ctx, path, current, a, telemetry.NewLogger(a, "info", "test"))
	}()
	time.Sleep(100 * time.Millisecond) // the file has been read and the signal is caught
	write(strings.Replace(validSettings, "retry_slack = 10", "retry_slack = 25", 1))
	a.await(t, "Applied changed settings.", 1)
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	a.await(t, "The settings have not changed.", 1)
	write("name = 3")
	a.await(t, "are not valid", 1)
	write(strings.Replace(validSettings, "127.0.0.1:7001", "127.0.0.1:7009", 1))
	a.await(t, "apply from the next start", 1)
	a.await(t, "Applied changed settings.", 2)
	cancel()
	<-done
	if len(a.slack) != 2 || a.slack[0] != 25 || a.slack[1] != 10 {
		t.Errorf("applied: %v", a.slack)
	}
	if !strings.Contains(a.log.String(), `"listen"`) {
		t.Errorf("the log does not name the setting: %s", a.log.String())
	}
}
