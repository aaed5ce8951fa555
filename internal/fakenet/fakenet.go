// Package fakenet provides an in-memory network for tests of links, of which a test can
// drop, delay, duplicate or reorder each frame, and servers that answer with raw bytes.
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

// headerBytes is the size of the length field in front of each frame.
const headerBytes = 4

// Direction is the direction of a frame.
type Direction int

const (
	ToServer Direction = iota
	ToClient
)

// Action is what the network does with one frame.
type Action int

const (
	Pass Action = iota
	Drop
	Cut       // close the connection instead of forwarding the frame
	Duplicate // forward the frame twice
	Reorder   // forward the frame after the next one that passes
)

// Rule returns the action for a frame. dial is the index of the connection, in
// the order of dialling, and n the index of the frame in its direction.
type Rule func(dial int, dir Direction, n int, body []byte) Action

// Network connects a client to a server through relays that apply a rule to each
// frame.
type Network struct {
	wg       sync.WaitGroup
	Accepted chan net.Conn // server ends of dialled connections, received by Accept

	rule Rule

	mu     sync.Mutex
	down   bool
	relays []*Relay
}

// Relay forwards the frames of one dialled connection. Its arrays are indexed by
// Direction.
type Relay struct {
	ends    [4]net.Conn     // client, relay's client side, relay's server side, server
	Discard [2]atomic.Bool  // whether to discard all frames
	Delay   [2]atomic.Int64 // time before each frame is forwarded, in nanoseconds
}

// New returns a network without connections. A nil rule passes all frames.
func New(rule Rule) *Network {
	return &Network{Accepted: make(chan net.Conn), rule: rule}
}

// listener accepts the connections of a network on behalf of one server.
type listener struct {
	*Network
	stopped chan struct{}
	once    sync.Once
}

// Listen returns a listener for a server on the network.
func (n *Network) Listen() net.Listener { return &listener{Network: n, stopped: make(chan struct{})} }

// Accept returns the server end of the next dialled connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.Accepted:
		return c, nil
	case <-l.stopped:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.stopped) })
	return nil
}

// Addr returns an empty address.
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

// Dial connects to the server that accepts next; the address is ignored.
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

// LastRelay returns the relay of the most recent connection.
func (n *Network) LastRelay() *Relay {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.relays[len(n.relays)-1]
}

// Dials returns the number of connections dialled so far.
func (n *Network) Dials() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.relays)
}

// SetDown(true) closes the last connection and makes Dial fail; SetDown(false)
// makes Dial succeed again.
func (n *Network) SetDown(down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down = down
	if down && len(n.relays) > 0 {
		n.relays[len(n.relays)-1].Close()
	}
}

// CloseAll closes all connections and waits until their relays have stopped.
func (n *Network) CloseAll() {
	n.mu.Lock()
	for _, p := range n.relays {
		p.Close()
	}
	n.mu.Unlock()
	n.wg.Wait()
}

// Close closes the connection at both ends.
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

// ReadFrame reads one frame and returns it with its header.
func ReadFrame(r *bufio.Reader) ([]byte, error) {
	head, err := r.Peek(headerBytes)
	if err != nil {
		return nil, err
	}
	raw := make([]byte, headerBytes+int(binary.BigEndian.Uint32(head)))
	_, err = io.ReadFull(r, raw)
	return raw, err
}
