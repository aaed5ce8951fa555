// Package outbound writes to the connections of clients without waiting for clients that
// read slowly. What the kernel does not take at once is queued, counted against the memory
// of the process, and written as the client reads. A client that reads too slowly is cut
// off: its connection is reset, so that no answer looks complete that is not.
package outbound

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hyssoploom/internal/sockets"
	"hyssoploom/limits"
	"hyssoploom/supervise"
)

const (
	// sendBufferBytes bounds what the kernel takes for a client that does not read. Most
	// streams fit into it as a whole.
	sendBufferBytes = 64 << 10
	// kernelBytes is the memory that Linux allots to a send buffer of sendBufferBytes. It
	// is counted while the buffer is full.
	kernelBytes = 2 * sendBufferBytes
	// blockBytes is the least size of a block of the queue.
	blockBytes = 4 << 10
	// defaultTime is the time for what is written before Conn.Begin: error responses to
	// requests that are not understood.
	defaultTime = 5 * time.Second
	// resetAvoidance is the time between the end of the data and the close of a
	// connection, as in net/http: a close with unread bytes resets the connection.
	resetAvoidance = 500 * time.Millisecond
)

// The reasons for which a client is cut off.
var (
	// ErrClientFull means that the client has left too much unread.
	ErrClientFull = errors.New("the client has left too much unread")
	// ErrMemoryFull means that the clients of the workspace, or all together, have left
	// too much unread.
	ErrMemoryFull = errors.New("no memory for answers that clients have not read")
	// ErrStalled means that the client has read nothing for too long.
	ErrStalled = errors.New("the client has stopped reading")
	// ErrDeadline means that the client had not read its answer at the deadline.
	ErrDeadline = errors.New("the client had not read its answer at the deadline")
	// errGone means that the connection has failed or that the process stops.
	errGone = errors.New("the connection has ended")
)

// Config holds the bounds of a Group.
type Config struct {
	// Memory is the account of all connections.
	Memory *limits.SharedMemory
	// ClientBytes is the number of bytes that one connection may hold.
	ClientBytes int64
	// OnCut is called when a client has been cut off.
	OnCut func(Cut)
}

// Cut describes a client that was cut off.
type Cut struct {
	Workspace string
	// Reason is one of the errors of this package.
	Reason error
	// Queued is the number of bytes that were queued for the client.
	Queued int64
}

// Group is a set of connections with common bounds. It is safe for concurrent use.
type Group struct {
	config   Config
	draining supervise.Inflight // connections with a queue

	queued, reserved, kernel atomic.Int64

	mu   sync.Mutex
	slow map[*Conn]struct{} // connections with a queue
}

// NewGroup returns a group without connections.
func NewGroup(c Config) *Group { return &Group{config: c, slow: make(map[*Conn]struct{})} }

// Held is the number of bytes that are held for clients, by kind.
type Held struct {
	// Queued are written answers and parts of streams, Reserved answers that are still
	// being received, and Kernel the full send buffers.
	Queued   int64 `json:"queued"`
	Reserved int64 `json:"reserved"`
	Kernel   int64 `json:"kernel"`
}

// Held returns what is held now.
func (g *Group) Held() Held {
	return Held{Queued: g.queued.Load(), Reserved: g.reserved.Load(), Kernel: g.kernel.Load()}
}

// Wait returns nil once nothing is queued, or the error of ctx if that ends first.
func (g *Group) Wait(ctx context.Context) error { return g.draining.Wait(ctx) }

// Close resets the connections for which something is queued.
func (g *Group) Close() {
	g.mu.Lock()
	slow := make([]*Conn, 0, len(g.slow))
	for c := range g.slow {
		slow = append(slow, c)
	}
	g.mu.Unlock()
	for _, c := range slow {
		c.cutOff(errGone)
	}
}

func (g *Group) setSlow(c *Conn, slow bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slow {
		g.slow[c] = struct{}{}
	} else {
		delete(g.slow, c)
	}
}

// Listener returns a listener whose connections are *Conn of this group. l must accept TCP
// connections.
func (g *Group) Listener(l net.Listener) (net.Listener, error) {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, errors.New("outbound: the listener does not accept TCP connections")
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &listener{TCPListener: tcp, group: g}, sockets.SetSendBuffer(raw, sendBufferBytes)
}

type listener struct {
	*net.TCPListener
	group *Group
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	tcp, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return newConn(l.group, tcp)
}
