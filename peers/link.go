package peers

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"hyssoploom/fleet"
	"hyssoploom/internal/sockets"
)

// link sends to one peer.
type link struct {
	hub     *Hub
	address string
	done    chan struct{}

	mu sync.Mutex
	// peer is only an address until a seed has been heard of.
	peer    fleet.Peer
	pending Message
	// relayed is news that the peer passes on in its region; greet asks for a greeting
	// of that region first.
	relayed Message
	greet   bool
	up      bool
	// told are the revisions of the items that this connection has carried.
	told map[string]int64
}

// queue adds news to the next batch. News for a peer that is not connected is
// dropped: the greeting of the next connection replaces it.
func (l *link) queue(add func(to fleet.Peer, m *Message)) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.up {
		return false
	}
	add(l.peer, &l.pending)
	l.pending.bound()
	return true
}

// identify notes who is at the address of a seed.
func (l *link) identify(peer fleet.Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peer.Name == "" {
		l.peer = peer
	}
}

// to returns the peer of the link.
func (l *link) to() fleet.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peer
}

// bound drops the oldest of each kind of news that waits.
func (m *Message) bound() {
	m.Loads = newest(m.Loads)
	m.PrefixUses = newest(m.PrefixUses)
	m.Sessions = newest(m.Sessions)
	m.Charges = newest(m.Charges)
	m.Durable = newest(m.Durable)
}

// untold returns the items that the connection has not carried in this revision,
// and notes them. Messages of a connection arrive in order or not at all. The
// caller holds l.mu.
func (l *link) untold(items []fleet.Item) []fleet.Item {
	if l.told == nil {
		l.told = make(map[string]int64)
	}
	var fresh []fleet.Item
	for _, item := range items {
		if revision, ok := l.told[item.Key]; ok && revision >= item.Revision {
			continue
		}
		l.told[item.Key] = item.Revision
		fresh = append(fresh, item)
	}
	return fresh
}

func newest[T any](list []T) []T {
	if len(list) > maxQueued {
		return slices.Delete(list, 0, len(list)-maxQueued)
	}
	return list
}

func (l *link) run(ctx context.Context) {
	for {
		if err := l.connect(ctx); err != nil && ctx.Err() == nil {
			l.hub.log.Debug("Link to a peer ended.", "peer", l.to().Name, "address", l.address, "error", err.Error())
		}
		select {
		case <-ctx.Done():
			return
		case <-l.done:
			return
		case <-time.After(redialPause):
		}
	}
}

// connect dials the peer and sends batches until the connection fails.
func (l *link) connect(ctx context.Context) error {
	dialer := net.Dialer{Timeout: dialTimeout, Control: sockets.UserTimeout(silentAfter)}
	raw, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return err
	}
	defer raw.Close()
	l.setUp(true)
	greeting := l.hub.handler.InitialState() // takes locks under which news is queued
	greeting.From = &l.hub.self
	if err := l.write(raw, greeting); err != nil {
		return err
	}
	defer l.setUp(false)
	pause := farFlush
	if l.hub.near(l.to()) {
		pause = nearFlush
	}
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	sent := time.Time{}
	for {
		l.greetRegion()
		if m := l.batch(time.Since(sent) >= heartbeat); m != nil {
			if err := l.write(raw, m); err != nil {
				return err
			}
			sent = time.Now()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.done:
			return nil
		case <-ticker.C:
		}
	}
}

func (l *link) write(raw net.Conn, m *Message) error {
	if err := raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return writeMessage(raw, m)
}

// setUp starts or stops the queueing of news.
func (l *link) setUp(up bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending, l.relayed, l.greet, l.up, l.told = Message{}, Message{}, false, up, nil
}

// batch takes what is queued; nil when there is nothing to send.
func (l *link) batch(due bool) *Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.pending
	if !l.relayed.empty() {
		relayed := l.relayed
		m.Relay = &relayed
	}
	if m.empty() && !due {
		return nil // a message without news is a heartbeat
	}
	l.pending, l.relayed = Message{}, Message{}
	return &m
}
