package peers

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"hyssoploom/fleet"
	"hyssoploom/telemetry"
)

// recorder keeps the messages that it gets.
type recorder struct {
	mu       sync.Mutex
	messages []*Message
	greeting Message
}

func (r *recorder) Receive(m *Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, m)
}

func (r *recorder) InitialState() *Message {
	m := r.greeting
	return &m
}

// loads returns the newest load of each server that was received.
func (r *recorder) loads() map[string]Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]Load)
	for _, m := range r.messages {
		for _, l := range m.Loads {
			out[l.Server] = l
		}
	}
	return out
}

// node is a hub with its recorder.
type node struct {
	*Hub
	*recorder
	listener net.Listener
}

func startNode(t *testing.T, name string, seeds []string, listed func() map[string]fleet.Peer, greeting Message) *node {
	t.Helper()
	return startIn(t, t.Context(), "fyn", name, seeds, listed, greeting)
}

// startIn starts a node of a region that runs until ctx ends.
func startIn(t *testing.T, ctx context.Context, region, name string, seeds []string, listed func() map[string]fleet.Peer, greeting Message) *node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &recorder{greeting: greeting}
	self := fleet.Peer{Name: name, Address: listener.Addr().String(), Region: region}
	n := &node{New(self, seeds, r, listed, telemetry.Discard()), r, listener}
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.Serve(ctx, listener)
	}()
	t.Cleanup(func() { <-done })
	return n
}

func nobody() map[string]fleet.Peer { return nil }

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not in time: %s", what)
}

func tell(l Load) func(fleet.Peer, *Message) {
	return func(_ fleet.Peer, m *Message) { m.Loads = append(m.Loads, l) }
}

// Guards against news that does not arrive, and against an entry that knows no
// store and finds its peers by a seed but is not answered.
func TestNewsBothWays(t *testing.T) {
	a := startNode(t, "a", nil, nobody, Message{Loads: []Load{{Server: "greeting", Running: 1}}})
	// b knows a only as a seed; a learns of b by its first message.
	b := startNode(t, "b", []string{a.self.Address, "127.0.0.1:1"}, nobody, Message{})
	eventually(t, "both have heard of each other", func() bool { return a.IsLive("b") && b.IsLive("a") })
	eventually(t, "the greeting", func() bool { return b.loads()["greeting"].Running == 1 })
	if a.EntryCount() != 2 || b.EntryCount() != 2 {
		t.Errorf("counts %d and %d", a.EntryCount(), b.EntryCount())
	}
	eventually(t, "news of a", func() bool {
		a.Broadcast(tell(Load{Server: "s", Running: 3}))
		return b.loads()["s"].Running == 3
	})
	eventually(t, "news for b alone", func() bool {
		a.Send(b.self.Address, tell(Load{Server: "only", Running: 4}))
		return b.loads()["only"].Running == 4
	})
}

// Guards against a peer that does not read and holds up the others or lets the
// queue grow.
func TestPeerThatDoesNotRead(t *testing.T) {
	deaf, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer deaf.Close()
	go func() {
		for {
			conn, err := deaf.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
		}
	}()
	good := startNode(t, "good", nil, nobody, Message{})
	listed := func() map[string]fleet.Peer {
		return map[string]fleet.Peer{"deaf": {Name: "deaf", Address: deaf.Addr().String()}, "good": good.self}
	}
	a := startNode(t, "a", nil, listed, Message{})
	if a.EntryCount() != 3 {
		t.Errorf("count %d", a.EntryCount())
	}
	eventually(t, "news reaches the good peer", func() bool {
		for range 1000 {
			a.Broadcast(tell(Load{Server: "s", Running: 1}))
		}
		return good.loads()["s"].Running == 1
	})
	a.Hub.mu.Lock()
	defer a.Hub.mu.Unlock()
	for _, l := range a.links {
		l.mu.Lock()
		if n := len(l.pending.Loads); n > maxQueued {
			t.Errorf("%d loads wait for one peer", n)
		}
		l.mu.Unlock()
	}
}

// Guards against a peer that is counted for good after it has gone.
func TestPeerThatLeaves(t *testing.T) {
	a := startNode(t, "a", nil, nobody, Message{})
	a.note(fleet.Peer{Name: "b", Address: "127.0.0.1:1"})
	if !a.IsLive("b") || a.EntryCount() != 2 {
		t.Fatal("a peer that was heard does not count")
	}
	a.Hub.mu.Lock()
	a.heard["b"] = heardPeer{a.heard["b"].peer, time.Now().Add(-forgetAfter)}
	a.Hub.mu.Unlock()
	if a.IsLive("b") || a.EntryCount() != 1 {
		t.Error("a peer that is silent still counts")
	}
}

// Guards against frames that stop a process or take its memory.
func FuzzReadMessage(f *testing.F) {
	var valid bytes.Buffer
	if err := writeMessage(&valid, &Message{From: &fleet.Peer{Name: "a"}, Loads: []Load{{Server: "s", Running: 1}}, SyncRequest: &SyncRequest{SentAt: 5}}); err != nil {
		f.Fatal(err)
	}
	f.Add(valid.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0, 1, 0xc1})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := readMessage(bufio.NewReader(bytes.NewReader(data)))
		if (m == nil) == (err == nil) {
			t.Errorf("%v, %v", m, err)
		}
	})
}

// replied returns the items of all replies that were received.
func (r *recorder) replied() []fleet.Item {
	r.mu.Lock()
	defer r.mu.Unlock()
	var items []fleet.Item
	for _, m := range r.messages {
		if m.Reply != nil {
			items = append(items, m.Reply.Items...)
		}
	}
	return items
}

// Guards against a configuration that is sent again with each answer to a peer
// that asks many times, and against a peer that lacks it after a new connection.
func TestReplyOnce(t *testing.T) {
	b := startNode(t, "b", nil, nobody, Message{})
	a := startNode(t, "a", []string{b.self.Address}, nobody, Message{})
	reply := func(items ...fleet.Item) {
		a.Reply(b.self.Address, &Reply{RequestSentAt: 1, Revision: 5, Items: items})
	}
	config, changed := fleet.Item{Key: "c", Revision: 4}, fleet.Item{Key: "c", Revision: 6}
	eventually(t, "the first answer arrives", func() bool {
		reply(config)
		return len(b.replied()) > 0
	})
	for range 5 {
		reply(config)
		time.Sleep(nearFlush)
	}
	reply(config, changed)
	eventually(t, "the change arrives", func() bool {
		items := b.replied()
		return items[len(items)-1].Revision == 6
	})
	if items := b.replied(); len(items) != 2 {
		t.Errorf("%d items for two revisions of one: %v", len(items), items)
	}
	b.closeAccepted()
	eventually(t, "a new connection carries all again", func() bool {
		reply(changed)
		time.Sleep(nearFlush)
		return len(b.replied()) > 2
	})
}
