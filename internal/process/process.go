// Package process runs the project's programs as child processes in tests.
package process

import (
	"bufio"
	"bytes"
	"io"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	startTimeout = time.Minute // until a process is ready
	stopTimeout  = time.Minute // from SIGTERM until a process has drained and exited
)

// Process is a running program.
type Process struct {
	// Addr is the address that the ready function found in the output.
	Addr string
	// Exited is closed when the process has exited.
	Exited chan struct{}

	cmd *exec.Cmd
	err error // of Wait, valid once Exited is closed

	mu  sync.Mutex
	log bytes.Buffer
}

// Start runs a command and waits until ready finds an address in a line of its
// output. At the end of the test the process is killed, and its output is logged
// if the test has failed.
func Start(t testing.TB, ready func(line string) (string, bool), binary string, args ...string) *Process {
	t.Helper()
	p := &Process{cmd: exec.Command(binary, args...), Exited: make(chan struct{})}
	out, w := io.Pipe()
	p.cmd.Stdout, p.cmd.Stderr = w, w
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		_ = w.Close()
		close(p.Exited)
	}()
	addr := make(chan string, 1)
	go p.scanOutput(out, ready, addr)
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Logf("output of %s %v:\n%s", binary, args, p.Output())
		}
	})
	select {
	case p.Addr = <-addr:
	case <-p.Exited:
		t.Fatalf("%s %v exited before it was ready: %v\n%s", binary, args, p.err, p.Output())
	case <-time.After(startTimeout):
		t.Fatalf("%s %v did not become ready in time\n%s", binary, args, p.Output())
	}
	return p
}

func (p *Process) scanOutput(out io.Reader, ready func(string) (string, bool), addr chan<- string) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		p.mu.Lock()
		p.log.WriteString(lines.Text() + "\n")
		p.mu.Unlock()
		if a, ok := ready(lines.Text()); ok {
			select {
			case addr <- a:
			default:
			}
		}
	}
}

// Output returns what the process has written to stdout and stderr so far.
func (p *Process) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// Err returns the result of exec.Cmd.Wait. It may be called only after Exited is
// closed.
func (p *Process) Err() error { return p.err }

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill() // it may have ended already
	<-p.Exited
}

// Signal sends a signal to the process.
func (p *Process) Signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// TrySignal sends a signal to the process. It fails if the process has ended.
func (p *Process) TrySignal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Stop sends SIGTERM and checks that the process exits with status 0 in time.
func (p *Process) Stop(t testing.TB) {
	t.Helper()
	p.Signal(t, syscall.SIGTERM)
	select {
	case <-p.Exited:
		if p.err != nil {
			t.Errorf("%s exited with %v after SIGTERM\n%s", p.cmd.Path, p.err, p.Output())
		}
	case <-time.After(stopTimeout):
		t.Errorf("%s did not exit in time after SIGTERM\n%s", p.cmd.Path, p.Output())
	}
}
