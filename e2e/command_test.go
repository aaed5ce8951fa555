package e2e

import (
	"errors"
	"net"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"hyssoploom/standin"
)

// Guards against errors in the settings that are reported without the file and the
// setting to correct.
func TestSettingsErrors(t *testing.T) {
	busy, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer busy.Close()
	c := newCluster(t)
	valid := "name = \"e\"\ndata_centre = \"jylland\"\nstore_url = \"http://127.0.0.1:1\"\nvm_list_url = \"http://127.0.0.1:1\"\nfleet_key = \"0123456789abcdef\"\n"
	tests := []struct{ name, text, want string }{
		{"unknown key", valid + "listen = \"127.0.0.1:0\"\nlisten_adress = \"x\"\n", "listen_adress"},
		{"missing address", valid, "listen"},
		{"bad duration", valid + "listen = \"127.0.0.1:0\"\ndrain_grace = \"soon\"\n", "drain_grace"},
		{"address in use", valid + "listen = \"" + busy.Addr().String() + "\"\n", "listen: listen tcp"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			path := c.writeSettings("entry", test.text)
			out, err := exec.Command(hyssoploomBinary, "entry", "--settings", path).CombinedOutput()
			var exit *exec.ExitError
			if !errors.As(err, &exit) || exit.ExitCode() != 2 {
				t.Errorf("command exited with %v, want exit code 2", err)
			}
			lines := strings.Split(strings.TrimSpace(string(out)), "\n")
			if len(lines) != 1 || !strings.Contains(lines[0], path) || !strings.Contains(lines[0], test.want) {
				t.Errorf("printed %q, want one line with %s and %s", out, path, test.want)
			}
		})
	}
}

// Guards against a drain that is cut short because a stop is asked for again, or SIGHUP
// arrives, and against one that a second interrupt at a terminal does not end.
func TestOnlySecondInterruptEndsDrain(t *testing.T) {
	f := startSmallFleet(t, standin.EngineConfig{Tokens: 1000, TokenDelay: 20 * time.Millisecond})
	go f.chat("entry-1", "small", "A very long story.")
	eventually(t, "the answer is running", func() bool {
		return len(f.engines["small-1"].Record().Runs)+len(f.engines["small-2"].Record().Runs) > 0
	})
	entry := f.entries["entry-1"]
	entry.Signal(t, syscall.SIGTERM)
	eventually(t, "the drain has started", func() bool { return strings.Contains(entry.Output(), "Draining.") })
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM} {
		entry.Signal(t, s)
	}
	select {
	case <-entry.Exited:
		t.Fatalf("the entry has ended in its drain: %v", entry.Err())
	case <-time.After(time.Second):
	}
	entry.Signal(t, syscall.SIGINT)
	select {
	case <-entry.Exited:
		if entry.Err() == nil {
			t.Error("exit code 0 after an interrupted drain")
		}
	case <-time.After(3 * time.Second):
		t.Error("the entry has not exited 3 s after the second interrupt")
	}
}
