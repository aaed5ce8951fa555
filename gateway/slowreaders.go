package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"hyssoploom/limits"
	"hyssoploom/outbound"
)

const (
	// readersMemoryFraction is the fraction of the VM's memory that may be held for
	// clients: answers that are being received, and what clients have not read.
	readersMemoryFraction = 0.125
	// minReadersMemory is the least such memory. A workspace may take a half of it, in
	// which the largest answer fits beside a full send buffer.
	minReadersMemory = 2 * (maxBufferedResponse + 512<<10)
	// clientBytes is what may be queued for one client: the largest answer, or the largest
	// event beside others.
	clientBytes = maxBufferedResponse + maxEventSize
	// minClientPatience, targetPatience and gapPatience are the gap after which clients
	// abandon a stream: the longest of a time, a multiple of the route's objective, and a
	// multiple of its longest pause (PROTOCOL.md, Requests). A client that reads nothing
	// for so long is taken to have gone.
	minClientPatience           = 2 * time.Second
	targetPatience, gapPatience = 4, 8
	// cutLogInterval is the least time between two log lines about clients that were cut
	// off.
	cutLogInterval = time.Second
)

// readers holds what clients have not read yet. A nil *readers holds nothing: clients are
// waited for.
type readers struct {
	g     *Gateway
	group *outbound.Group

	mu       sync.Mutex
	loggedAt time.Time
	unlogged int64 // clients that were cut off since
}

// newReaders returns the readers of a VM with the given memory in MiB, 0 if unknown.
func newReaders(g *Gateway, memoryMB float64) *readers {
	r := &readers{g: g}
	memory := limits.NewAnswerMemory(max(int64(memoryMB*(1<<20)*readersMemoryFraction), minReadersMemory))
	r.group = outbound.NewGroup(outbound.Config{Memory: memory, ClientBytes: clientBytes, OnCut: r.reportCut})
	g.Metrics.Func("reader_memory_bytes", func() any { return r.group.Held() })
	g.Metrics.Func("reader_memory_limit_bytes", func() any { return memory.Largest() })
	return r
}

// listener returns a listener whose connections do not wait for their clients.
func (r *readers) listener(l net.Listener) net.Listener {
	if r == nil {
		return l
	}
	wrapped, err := r.group.Listener(l)
	if err != nil {
		r.g.Log.Warn("Clients that read slowly are not bounded as intended.", "error", err.Error())
	}
	if wrapped == nil {
		return l
	}
	return wrapped
}

// wait waits until the clients have read everything, or for the error of ctx.
func (r *readers) wait(ctx context.Context) error {
	if r == nil {
		return nil
	}
	return r.group.Wait(ctx)
}

// close cuts off the clients that have not read everything.
func (r *readers) close() {
	if r != nil {
		r.group.Close()
	}
}

// reportCut counts and logs a client that was cut off.
func (r *readers) reportCut(cut outbound.Cut) {
	r.g.Metrics.Add("slow_reader_"+cutName(cut.Reason), 1)
	workspace := cut.Workspace
	if workspace == "" {
		workspace = "public"
	}
	r.g.Metrics.Add("slow_readers_of_"+workspace, 1)
	r.mu.Lock()
	r.unlogged++
	now, count := time.Now(), r.unlogged
	due := now.Sub(r.loggedAt) >= cutLogInterval
	if due {
		r.loggedAt, r.unlogged = now, 0
	}
	r.mu.Unlock()
	if due {
		held := r.group.Held()
		r.g.Log.Warn("Cut off a client that reads slowly.", "workspace", workspace, "reason", cut.Reason.Error(), "queued", cut.Queued,
			"all_queued", held.Queued, "all_reserved", held.Reserved, "all_kernel", held.Kernel, "clients_since_last", count)
	}
}

// cutName returns the name of a reason in the metrics.
func cutName(reason error) string {
	switch {
	case errors.Is(reason, outbound.ErrClientFull):
		return "client_full"
	case errors.Is(reason, outbound.ErrMemoryFull):
		return "memory_full"
	case errors.Is(reason, outbound.ErrStalled):
		return "stalled"
	}
	return "deadline"
}

// beginAnswer prepares the client's connection for the answer of the request. The returned
// function gives the memory of the buffered answer back.
func (c *clientRequest) beginAnswer() (end func()) {
	c.conn = outboundConn(c.r)
	if c.conn == nil {
		return func() { c.g.responseMemory.release(c.heldMemory.Load()) }
	}
	c.conn.Begin(outbound.Answer{
		Workspace: c.workspaceName(), Deadline: c.deadline,
		Stall: max(minClientPatience, targetPatience*c.route.LatencyTarget, gapPatience*c.route.GapTarget),
	})
	return c.conn.End
}

// answerMemory returns the memory in which the answer of the request is buffered.
func (c *clientRequest) answerMemory() answerMemory {
	if c.conn == nil {
		return c.g.responseMemory
	}
	return readerMemory{c}
}

// readerMemory is the memory that is held for the client of a request.
type readerMemory struct{ c *clientRequest }

func (m readerMemory) acquire(n int64) bool {
	if m.c.conn.Reserve(n) {
		return true
	}
	// If it is not for answers that servers send without end, the server is not at fault.
	held := m.c.g.readers.group.Held()
	m.c.readersFull.Store(held.Queued+held.Kernel > held.Reserved)
	return false
}

// endReason returns why the stream of a request has ended whose client has disconnected or
// been cut off, or whose deadline has passed.
func (c *clientRequest) endReason() Reason {
	if c.conn != nil && c.conn.CutOff() != nil {
		return ReasonSlowReader
	}
	return ReasonTimeout
}
