package peers

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"hyssoploom/fleet"
)

// carried returns how many messages brought the load of a server, as news of whom.
func (r *recorder) carried(server string) (n int, from string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.messages {
		for _, l := range m.Loads {
			if l.Server == server {
				n, from = n+1, m.From.Name
			}
		}
	}
	return n, from
}

// relayed returns how many messages had news for the whole region.
func (r *recorder) relayed() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, m := range r.messages {
		if m.Relay != nil {
			n++
		}
	}
	return n
}

// directory names the entries as the store does.
type directory struct {
	mu    sync.Mutex
	peers map[string]fleet.Peer
}

func (d *directory) listed() map[string]fleet.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.peers)
}

// start starts a node and names it in the directory.
func (d *directory) start(t *testing.T, region, name string, greeting Message) (*node, context.CancelFunc) {
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	n := startIn(t, ctx, region, name, nil, d.listed, greeting)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peers == nil {
		d.peers = make(map[string]fleet.Peer)
	}
	d.peers[name] = n.self
	return n, stop
}

// region starts nodes of another region.
func (d *directory) region(t *testing.T, n int) (nodes []*node, stops []context.CancelFunc) {
	for i := range n {
		far, stop := d.start(t, "jylland", fmt.Sprint("far-", i), Message{})
		nodes, stops = append(nodes, far), append(stops, stop)
	}
	return nodes, stops
}

// meet waits until all nodes have heard of each other and are connected.
func meet(t *testing.T, nodes ...*node) {
	t.Helper()
	eventually(t, "all are connected", func() bool {
		for _, n := range nodes {
			for _, other := range nodes {
				if n != other && !(n.IsLive(other.self.Name) && n.Send(other.self.Address, func(fleet.Peer, *Message) {})) {
					return false
				}
			}
		}
		return true
	})
}

// Guards against news that crosses to another region once for each of its entries,
// that reaches some of them twice or not at all, and that loses its origin.
func TestNewsCrossesOnce(t *testing.T) {
	var d directory
	a, _ := d.start(t, "fyn", "a", Message{})
	near, _ := d.start(t, "fyn", "near", Message{})
	far, _ := d.region(t, 4)
	meet(t, append(far, a, near)...)
	a.Broadcast(tell(Load{Server: "s", Running: 3}))
	for _, n := range append(far, near) {
		eventually(t, "the news at "+n.self.Name, func() bool { return n.loads()["s"].Running == 3 })
		if count, from := n.carried("s"); count != 1 || from != "a" {
			t.Errorf("%s: %d times, from %q", n.self.Name, count, from)
		}
	}
	relays := 0
	for _, n := range far {
		relays += n.relayed()
	}
	if relays != 1 {
		t.Errorf("the news crossed %d times", relays)
	}
	for i := range 20 {
		a.Broadcast(tell(Load{Server: "s", Running: i}))
	}
	eventually(t, "the newest count everywhere", func() bool {
		for _, n := range far {
			if n.loads()["s"].Running != 19 {
				return false
			}
		}
		return true
	})
}

// Guards against a region that hears nothing after the end of the entry that passed
// the news on to it, or that misses what was only told to that one.
func TestRelayThatEnds(t *testing.T) {
	var d directory
	a, _ := d.start(t, "fyn", "a", Message{Loads: []Load{{Server: "greeting", Running: 1}}})
	far, stops := d.region(t, 3)
	meet(t, append(far, a)...)
	a.Broadcast(tell(Load{Server: "before", Running: 1}))
	relay := -1
	eventually(t, "one passes the news on", func() bool {
		for i, n := range far {
			if n.relayed() > 0 {
				relay = i
			}
		}
		return relay >= 0
	})
	stops[relay]()
	left := append(far[:relay:relay], far[relay+1:]...)
	greeted := make(map[string]int)
	for _, n := range left {
		greeted[n.self.Name], _ = n.carried("greeting")
	}
	began := time.Now()
	for _, n := range left {
		eventually(t, "news after the end of the relay", func() bool {
			a.Broadcast(tell(Load{Server: "after", Running: 2}))
			time.Sleep(20 * time.Millisecond)
			return n.loads()["after"].Running == 2
		})
		eventually(t, "a greeting by the new relay", func() bool {
			n2, _ := n.carried("greeting")
			return n2 > greeted[n.self.Name]
		})
	}
	if took := time.Since(began); took > silentAfter+2*time.Second {
		t.Errorf("the region heard nothing for %v", took)
	}
}
