package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt.
type record struct {
	begun time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
	// runs holds, by the id of a request, the runners that ran it.
	runs map[string][]string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begun: time.Now(), file: f, out: bufio.NewWriter(f), runs: make(map[string][]string)}, nil
}

func (l *record) add(who, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.line(who, format, args...)
}

func (l *record) line(who, format string, args ...any) {
	fmt.Fprintf(l.out, "%8.3f  %-10s %s\n", time.Since(l.begun).Seconds(), who, fmt.Sprintf(format, args...))
}

func (l *record) ran(runner, request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[request] = append(l.runs[request], runner)
	l.line(runner, "runs %s", request)
}

func (l *record) runsOf(request string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.runs[request]...)
}

// say writes a line to the record and to standard output.
func (l *record) say(format string, args ...any) {
	l.add("result", format, args...)
	fmt.Printf(format+"\n", args...)
}

func (l *record) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.out.Flush()
	_ = l.file.Close()
}
