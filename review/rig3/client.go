package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is a request of a client.
type call struct {
	id, method, path, key string
	header                string // further lines
	body                  string
	deadline              time.Duration
}

// reply is what a client gets. The status is 0 if the channel ended without an answer.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
	at     time.Time
}

func (r reply) String() string {
	if r.err != nil {
		return fmt.Sprintf("%d, %v", r.status, r.err)
	}
	return fmt.Sprintf("%d %q", r.status, strings.TrimSpace(r.body))
}

const host = "crew.example"

func (c *call) bytes() string {
	length := ""
	if c.method != http.MethodGet {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(c.body))
	}
	key := ""
	if c.key != "" {
		key = "X-Key: " + c.key + "\r\n"
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s%s%s\r\n%s",
		c.method, c.path, host, c.id, c.deadline.Milliseconds(), key, c.header, length, c.body)
}

// channel is a kept channel of a client.
type channel struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn, bufio.NewReader(conn)}, nil
}

// do sends a request and waits for its answer.
func (ch *channel) do(c *call) reply {
	_ = ch.SetDeadline(time.Now().Add(c.deadline + time.Second)) // a failure shows at the write
	if _, err := io.WriteString(ch, c.bytes()); err != nil {
		return reply{err: err, at: time.Now()}
	}
	response, err := http.ReadResponse(ch.reader, &http.Request{Method: c.method})
	if err != nil {
		return reply{err: err, at: time.Now()}
	}
	body, err := io.ReadAll(response.Body)
	response.Body.Close()
	return reply{response.StatusCode, response.Header, string(body), err, time.Now()}
}

// once sends a request on a new channel.
func once(log *record, e *entry, c *call) reply {
	ch, err := dial(e.front)
	if err != nil {
		log.add("client", "%s to %s: %v", c.id, e.name, err)
		return reply{err: err, at: time.Now()}
	}
	defer ch.Close()
	log.add("client", "sends %s %s to %s", c.method, c.id, e.name)
	r := ch.do(c)
	log.add("client", "gets for %s: %s", c.id, r)
	return r
}
