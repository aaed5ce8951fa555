package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// run is one run of a request at a runner.
type run struct {
	runner string
	at     time.Time
}

// journal records what was sent, answered and run.
type journal struct {
	start time.Time

	mu   sync.Mutex
	out  io.Writer
	runs map[string][]run // by request id
}

func newJournal(path string) (*journal, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &journal{start: time.Now(), out: f, runs: make(map[string][]run)}, nil
}

// printf writes a line with the time since the start.
func (j *journal) printf(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.line(format, args...)
}

func (j *journal) line(format string, args ...any) {
	fmt.Fprintf(j.out, "%8.3f s  %s\n", time.Since(j.start).Seconds(), fmt.Sprintf(format, args...))
}

// ran records that a runner has begun to work on a request.
func (j *journal) ran(id, runner string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[id] = append(j.runs[id], run{runner, time.Now()})
	j.line("%s: runs %s", runner, id)
}

// runsOf returns the runs of a request.
func (j *journal) runsOf(id string) []run {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]run(nil), j.runs[id]...)
}
