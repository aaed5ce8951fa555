package admission

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAdmission measures one request (arrival, first token, end) at a server
// with all slots taken and a full queue of ten workspaces.
func BenchmarkAdmission(b *testing.B) {
	c := New(Config{ColdLimit: 16, WarmLimit: 16, QueueLimit: 16})
	workspaces := make([]string, 10)
	for i := range workspaces {
		workspaces[i] = fmt.Sprint(i)
	}
	var running []uint64
	id, now := uint64(0), time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		now += ms
		t := Ticket{ID: id, Workspace: workspaces[id%10], Weight: 1, Deadline: now + time.Minute}
		if c.Arrive(now, t).Outcome == Run {
			running = append(running, id)
		}
		if c.Report().Queued < 15 {
			continue
		}
		done := running[0]
		c.FirstToken(now, done)
		ch := c.Done(now, Result{ID: done, OK: true, FirstToken: 100 * ms})
		running = append(running[1:], ch.Start...)
	}
}
