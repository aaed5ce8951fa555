// Package fakenet connects the two ends of links in memory and treats each frame
// as a test says.
package fakenet

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// headerBytes is the length field in front of each frame.
const headerBytes = 4

// Direction is that of a frame through the network.
type Direction int

// The directions.
const (
	ToServer Direction = iota
	ToClient
)

// Action is what the network does with one frame.
type Action int

// The actions.
const (
	Pass Action = iota
	Drop
	Cut       // closes the connection instead of passing the frame
	Duplicate // passes the frame twice
	Reorder   // passes the frame after the next one
)

// Rule decides on frame n of one direction of a connection.
type Rule func(dial int, dir Direction, n int, body []byte) Action

// Network connects a client with a server through relays that treat each frame
// as rule says.
type Network struct {
	wg       sync.WaitGroup
	Accepted chan net.Conn

	rule Rule

	mu     sync.Mutex
	down   bool
	relays []*Relay
}

// Relay is the relay of one dialled connection.
type Relay struct {
	ends    [4]net.Conn
	Discard [2]atomic.Bool // frames of this direction vanish
	Delay   [2]atomic.Int64
}

// New returns a network without connections; a nil rule passes everything.
func New(rule Rule) *Network {
	return &Network{Accepted: make(chan net.Conn), rule: rule}
}

// listener accepts the connections of a network for one server.
type listener struct {
	*Network
	stopped chan struct{}
	once    sync.Once
}

// Listen returns the listener of a server on the network.
func (n *Network) Listen() net.Listener { return &listener{Network: n, stopped: make(chan struct{})} }

// Accept waits for a dialled connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.Accepted:
		return c, nil
	case <-l.stopped:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.stopped) })
	return nil
}

// Addr returns an empty address.
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

// Dial connects to the server that listens.
func (n *Network) Dial(ctx context.Context, _ string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down {
		return nil, errors.New("network is down")
	}
	p := &Relay{}
	p.ends[0], p.ends[1] = net.Pipe()
	p.ends[2], p.ends[3] = net.Pipe()
	select {
	case n.Accepted <- p.ends[3]:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	dialIndex := len(n.relays)
	n.relays = append(n.relays, p)
	n.wg.Go(func() { n.forward(p, dialIndex, ToServer, p.ends[1], p.ends[2]) })
	n.wg.Go(func() { n.forward(p, dialIndex, ToClient, p.ends[2], p.ends[1]) })
	return p.ends[0], nil
}

// LastRelay returns the relay of the newest connection.
func (n *Network) LastRelay() *Relay {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.relays[len(n.relays)-1]
}

// Dials returns the number of connections so far.
func (n *Network) Dials() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.relays)
}

// SetDown cuts the last connection and refuses new ones, or accepts them again.
func (n *Network) SetDown(down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down = down
	if down && len(n.relays) > 0 {
		n.relays[len(n.relays)-1].Close()
	}
}

// CloseAll closes all connections and waits for their relays.
func (n *Network) CloseAll() {
	n.mu.Lock()
	for _, p := range n.relays {
		p.Close()
	}
	n.mu.Unlock()
	n.wg.Wait()
}

// Close closes the connection.
func (p *Relay) Close() {
	for _, c := range p.ends {
		_ = c.Close()
	}
}

func (n *Network) forward(p *Relay, dialIndex int, dir Direction, from, to net.Conn) {
	r := bufio.NewReader(from)
	var held []byte
	for i := 0; ; i++ {
		raw, err := ReadFrame(r)
		if err != nil {
			if !p.Discard[dir].Load() {
				_ = to.Close()
			}
			return
		}
		if d := p.Delay[dir].Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		action := Pass
		if n.rule != nil {
			action = n.rule(dialIndex, dir, i, raw[headerBytes:])
		}
		var out []byte
		switch {
		case p.Discard[dir].Load() || action == Drop:
		case action == Cut:
			p.Close()
			return
		case action == Reorder:
			held = raw
		case action == Duplicate:
			out = append(append(out, raw...), raw...)
		default:
			out = append(append(out, raw...), held...)
			held = nil
		}
		if _, err := to.Write(out); err != nil {
			return
		}
	}
}

// ReadFrame reads one frame with its header.
func ReadFrame(r *bufio.Reader) ([]byte, error) {
	head, err := r.Peek(headerBytes)
	if err != nil {
		return nil, err
	}
	raw := make([]byte, headerBytes+int(binary.BigEndian.Uint32(head)))
	_, err = io.ReadFull(r, raw)
	return raw, err
}
