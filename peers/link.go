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

// link is the outbound connection to one peer, with its queue of updates.
type link struct {
	hub     *Hub
	address string
	done    chan struct{}

	mu sync.Mutex
	// peer holds only an address until the entry behind a seed address is known.
	peer    fleet.Peer
	pending Message
	// pendingRelay holds updates that the peer relays within its region.
	// sendInitialState requests that the next batch also relays the initial state.
	pendingRelay     Message
	sendInitialState bool
	connected        bool
	// sentRevisions maps the keys of the items sent on this connection to their
	// revisions.
	sentRevisions map[string]int64
}

// queue adds updates to the next batch and reports whether the peer is connected.
// Without a connection the updates are dropped, as the next connection starts with
// the initial state.
func (l *link) queue(add func(remote fleet.Peer, m *Message)) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.connected {
		return false
	}
	add(l.peer, &l.pending)
	l.pending.dropOldest()
	return true
}

// setPeer sets the peer behind a seed address once it is known.
func (l *link) setPeer(peer fleet.Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peer.Name == "" {
		l.peer = peer
	}
}

// remote returns the peer at the other end of the link.
func (l *link) remote() fleet.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peer
}

// dropOldest trims each list of queued updates to its newest maxQueuedUpdates.
func (m *Message) dropOldest() {
	m.Loads = keepNewest(m.Loads)
	m.PrefixUses = keepNewest(m.PrefixUses)
	m.Sessions = keepNewest(m.Sessions)
	m.Charges = keepNewest(m.Charges)
	m.Durable = keepNewest(m.Durable)
	m.CrashSuspects = keepNewest(m.CrashSuspects)
	m.RequestSuspects = keepNewest(m.RequestSuspects)
	m.SoundParts = keepNewest(m.SoundParts)
	m.WholeParts = keepNewest(m.WholeParts)
	m.Outlasting = keepNewest(m.Outlasting)
	m.ColdServers = keepNewest(m.ColdServers)
	m.Blocks = keepNewest(m.Blocks)
	m.ServerLimits = keepNewest(m.ServerLimits)
	m.ServerSends = keepNewest(m.ServerSends)
	m.WorkspaceUses = keepNewest(m.WorkspaceUses)
	m.ModelUses = keepNewest(m.ModelUses)
	m.ReadTimes = keepNewest(m.ReadTimes)
	m.ServerSpeeds = keepNewest(m.ServerSpeeds)
	m.Refusals = keepNewest(m.Refusals)
}

// unsentItems returns the items whose revision has not been sent on this connection
// and records them as sent. This is safe because the messages of a connection arrive
// in order or not at all. The caller holds l.mu.
func (l *link) unsentItems(items []fleet.Item) []fleet.Item {
	if l.sentRevisions == nil {
		l.sentRevisions = make(map[string]int64)
	}
	var unsent []fleet.Item
	for _, item := range items {
		if revision, ok := l.sentRevisions[item.Key]; ok && revision >= item.Revision {
			continue
		}
		l.sentRevisions[item.Key] = item.Revision
		unsent = append(unsent, item)
	}
	return unsent
}

// keepNewest returns the last maxQueuedUpdates elements of a list.
func keepNewest[T any](list []T) []T {
	if len(list) > maxQueuedUpdates {
		return slices.Delete(list, 0, len(list)-maxQueuedUpdates)
	}
	return list
}

// run reconnects to the peer until ctx is done or the link is closed.
func (l *link) run(ctx context.Context) {
	for {
		if err := l.connect(ctx); err != nil && ctx.Err() == nil {
			l.hub.log.Debug("Connection to peer ended.", "peer", l.remote().Name, "address", l.address, "error", err.Error())
		}
		select {
		case <-ctx.Done():
			return
		case <-l.done:
			return
		case <-time.After(redialDelay):
		}
	}
}

// connect dials the peer and sends batches until the connection fails, the link is
// closed or ctx is done.
func (l *link) connect(ctx context.Context) error {
	dialer := net.Dialer{Timeout: dialTimeout, Control: sockets.UserTimeout(livenessTimeout)}
	conn, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return err
	}
	defer conn.Close()
	l.setConnected(true)
	initialState := l.hub.handler.InitialState() // takes locks under which updates are queued
	initialState.From = &l.hub.self
	if err := l.write(conn, initialState); err != nil {
		return err
	}
	defer l.setConnected(false)
	pause := interRegionFlushInterval
	if l.hub.sendsDirectly(l.remote()) {
		pause = intraRegionFlushInterval
	}
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	lastSent := time.Time{}
	for {
		if l.isDue(time.Since(lastSent), pause) {
			l.queueInitialState()
			if m := l.takeBatch(time.Since(lastSent) >= heartbeatInterval); m != nil {
				if err := l.write(conn, m); err != nil {
					return err
				}
				lastSent = time.Now()
			}
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

// isDue reports whether a batch may be sent. At the reduced rate, one waits for longer unless it
// has to arrive before a refused client returns.
func (l *link) isDue(sinceLast, pause time.Duration) bool {
	if !l.hub.reducedRate.Load() || sinceLast >= reducedRateFactor*pause {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending.Refusals) > 0 || l.pending.HostLoad != nil
}

func (l *link) write(conn net.Conn, m *Message) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return writeMessage(conn, m)
}

// setConnected discards all queued updates and starts or stops queueing.
func (l *link) setConnected(connected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending, l.pendingRelay, l.sendInitialState, l.connected, l.sentRevisions = Message{}, Message{}, false, connected, nil
}

// takeBatch returns the queued updates and empties the queue. It returns nil when
// nothing is queued and no heartbeat is due.
func (l *link) takeBatch(heartbeatDue bool) *Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.pending
	if !l.pendingRelay.empty() {
		pendingRelay := l.pendingRelay
		m.ToRelay = &pendingRelay
	}
	if m.empty() && !heartbeatDue {
		return nil // a message without updates is a heartbeat
	}
	l.pending, l.pendingRelay = Message{}, Message{}
	return &m
}
