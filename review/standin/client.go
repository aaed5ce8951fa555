package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// outcome is what a client saw of a request.
type outcome struct {
	id       string
	entry    *entry
	sent     time.Time
	ended    time.Time
	status   int
	body     string
	complete bool // an answer with its whole body has arrived
	err      error
}

// client sends requests over kept channels.
type client struct {
	http    *http.Client
	journal *journal
	tenant  string // its key
}

var lastID atomic.Int64

// promptThings is the number of different first parts of prompts.
const promptThings = 342

func newClient(j *journal, key string) *client {
	return &client{
		journal: j, tenant: key,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second, DisableCompression: true}},
	}
}

// send sends a POST request to an entry and reads the whole answer. Go's client repeats a
// POST only if nothing of it was written.
func (c *client) send(e *entry, path string, body []byte, deadline time.Duration) outcome {
	o := outcome{id: fmt.Sprintf("req-%05d", lastID.Add(1)), entry: e, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.listen+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.GetBody = nil
	request.Host = host
	request.Header.Set("X-Request-Id", o.id)
	request.Header.Set("X-Key", c.tenant)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if strings.HasPrefix(path, draftPrefix) {
		request.Header.Set("X-Model", "small")
		request.Header.Set("X-Token-Counts", "1460,80")
		request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%x:800,%x:250", 1+rand.IntN(promptThings), 1000+lastID.Load()))
	}
	c.journal.printf("client: sends %s to %s, POST %s, %d bytes", o.id, e.name, path, len(body))
	response, err := c.http.Do(request)
	if err == nil {
		o.status = response.StatusCode
		var content []byte
		content, err = io.ReadAll(response.Body)
		response.Body.Close()
		o.body = string(content)
	}
	o.ended, o.err, o.complete = time.Now(), err, err == nil
	if err != nil {
		c.journal.printf("client: %s has no complete answer (status %d): %v", o.id, o.status, err)
	} else {
		c.journal.printf("client: %s is answered %d", o.id, o.status)
	}
	return o
}
