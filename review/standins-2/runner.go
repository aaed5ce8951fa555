package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// runnerConfig is what the process of a runner is started with.
type runnerConfig struct {
	ID, Address string
	Born        int64
	// BadPart is a part of prompts that crashes the runner when it begins to write an answer
	// on it; none if empty.
	BadPart string
	// Events is the number of events of a stream, and EventMS the time between two.
	Events, EventMS int
	// Unframed answers have neither a length nor chunks and end with their channel. HalfMS is
	// the time between the two halves of such an answer.
	Unframed bool
	HalfMS   int
	// Failure is the status of the answer to every second request, or resetFailure; none fails if it
	// is empty.
	Failure string
	// Plain is set for runners of a plain service, which know no reports.
	Plain bool
}

// resetFailure stands for a channel that is closed without an answer.
const resetFailure = "reset"

// report is a line that a runner prints for each request that reaches it.
type report struct {
	AtMS    int64  `json:"at_ms"` // Unix time
	Runner  string `json:"runner"`
	What    string `json:"what"` // arrives, runs, fails, crashes, ended
	Request string `json:"request"`
	Parts   string `json:"parts,omitempty"`
	After   string `json:"last_event_id,omitempty"`
}

type runner struct {
	runnerConfig
	mu     sync.Mutex // of the output
	served atomic.Int64
}

// runRunner is the process of a runner: a real process, so that it is the kernel that ends its
// connections when it crashes.
func runRunner(config string) {
	r := &runner{}
	if err := json.Unmarshal([]byte(config), &r.runnerConfig); err != nil {
		fatal(err)
	}
	listener, err := net.Listen("tcp", r.Address)
	if err != nil {
		fatal(err)
	}
	go func() { // ends with the process that started it
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
	fmt.Println(`{"what":"started"}`)
	for {
		conn, err := listener.Accept()
		if err != nil {
			fatal(err)
		}
		go r.serve(conn)
	}
}

func (r *runner) report(what string, q *http.Request) {
	line, err := json.Marshal(report{
		time.Now().UnixMilli(), r.ID, what, q.Header.Get("X-Request-Id"), q.Header.Get("X-Prompt-Prefix"), q.Header.Get("Last-Event-Id"),
	})
	if err != nil {
		fatal(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = os.Stdout.Write(append(line, '\n'))
}

func (r *runner) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil || !r.answer(conn, q) {
			return
		}
	}
}

// answer answers a request and reports whether the channel stays open.
func (r *runner) answer(conn net.Conn, q *http.Request) bool {
	if r.Plain && q.Header.Get("X-Request-Id") == "" {
		return r.write(conn, q, "400 Bad Request", "", "X-Not-Executed: 1")
	}
	if q.Method == http.MethodGet && q.URL.Path == "/report" {
		body := fmt.Sprintf(`{"stage":"both","models":[],"busy":false,"sequence":0,"waiting":0,"running":0,"kvUsed":0,"kvTotal":400000,"handles":0,"born":%d}`, r.Born)
		return r.write(conn, q, "200 OK", body, "Content-Type: application/json")
	}
	r.report("arrives", q)
	if target := q.Header.Get("X-Target-Instance"); target != "" && target != r.ID {
		return r.write(conn, q, "421 Misdirected Request", "", "X-Not-Executed: 1")
	}
	r.report("runs", q)
	switch {
	case strings.HasPrefix(q.URL.Path, "/draft/"):
		return r.stream(conn, q)
	case r.Unframed:
		return r.unframed(conn, q)
	}
	time.Sleep(60 * time.Millisecond)
	if r.Failure != "" && r.served.Add(1)%2 == 0 {
		r.report("fails", q)
		if r.Failure == resetFailure {
			return false
		}
		return r.write(conn, q, r.Failure, "failed", "X-Response-Seal: s."+r.ID)
	}
	return r.write(conn, q, "200 OK", wholeBody(q), "X-Response-Seal: s."+r.ID)
}

// bodyBytes is the length of the body of an answer that is no stream.
const bodyBytes = 800

// wholeBody is the whole body of the answer to a request.
func wholeBody(q *http.Request) string { return bodyOf(q.Header.Get("X-Request-Id")) }

func bodyOf(id string) string {
	return strings.Repeat(id+" ", bodyBytes/(len(id)+1)+1)[:bodyBytes-4] + "end."
}

func (r *runner) write(conn net.Conn, q *http.Request, status, body string, header ...string) bool {
	_, err := io.WriteString(conn, r.head(q, status, append(header, "Content-Length: "+strconv.Itoa(len(body)))...)+body)
	return err == nil
}

func (r *runner) head(q *http.Request, status string, header ...string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\n%s\r\n\r\n", status, q.Header.Get("X-Request-Id"), r.ID, strings.Join(header, "\r\n"))
}

// unframed answers with neither a length nor chunks, in two halves.
func (r *runner) unframed(conn net.Conn, q *http.Request) bool {
	time.Sleep(60 * time.Millisecond)
	body := wholeBody(q)
	if _, err := io.WriteString(conn, r.head(q, "200 OK", "X-Response-Seal: s."+r.ID, "Connection: close")+body[:bodyBytes/2]); err != nil {
		return false
	}
	time.Sleep(time.Duration(r.HalfMS) * time.Millisecond)
	if _, err := io.WriteString(conn, body[bodyBytes/2:]); err == nil {
		r.report("ended", q)
	}
	return false
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id) }

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// stream answers with the events after Last-Event-Id.
func (r *runner) stream(conn net.Conn, q *http.Request) bool {
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	time.Sleep(time.Duration(r.EventMS) * time.Millisecond)
	head, framed, end := r.head(q, "200 OK", "X-Response-Seal: s."+r.ID, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"), chunk, "0\r\n\r\n"
	if r.Unframed {
		head = r.head(q, "200 OK", "X-Response-Seal: s."+r.ID, "Content-Type: text/event-stream", "Connection: close")
		framed, end = func(s string) string { return s }, ""
	}
	if r.BadPart != "" && hasPart(q.Header.Get("X-Prompt-Prefix"), r.BadPart) {
		// It begins to write the answer, and is gone in the middle of its second event.
		_, _ = io.WriteString(conn, head+chunk(event(last+1))+fmt.Sprintf("%x\r\nid: %d\nda", len(event(last+2)), last+2))
		r.report("crashes", q)
		os.Exit(1)
	}
	if _, err := io.WriteString(conn, head); err != nil {
		return false
	}
	for id := last + 1; id <= r.Events; id++ {
		if _, err := io.WriteString(conn, framed(event(id))); err != nil {
			return false
		}
		time.Sleep(time.Duration(r.EventMS) * time.Millisecond)
	}
	_, err := io.WriteString(conn, end)
	if err == nil {
		r.report("ended", q)
	}
	return err == nil && !r.Unframed
}

// hasPart tells whether a part other than the last one is in a prompt.
func hasPart(prefix, part string) bool {
	parts := strings.Split(prefix, ",")
	for _, p := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(p, ":"); id == part {
			return true
		}
	}
	return false
}
