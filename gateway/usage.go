package gateway

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssoploom/admission"
	"hyssoploom/fleet"
	"hyssoploom/peers"
)

const (
	// usageInterval is the interval at which the work that clients ask for is reported to
	// the peers; traffic between regions is billed.
	usageInterval = 500 * time.Millisecond
	// shortLoadDelta replaces crossRegionLoadDelta while room is short: a small part of the
	// work that the entries keep in front of an engine.
	shortLoadDelta = 40 * time.Millisecond
	// roomLogInterval is the least time for which servers count as full or as not full.
	roomLogInterval = time.Second
	// boundedUseLogInterval is the least time between two log lines about reports beyond the
	// bounds.
	boundedUseLogInterval = 10 * time.Second
)

// usageReport collects the work that clients ask for until it is reported.
type usageReport struct {
	message       peers.Message
	sentAt        time.Time
	boundLoggedAt time.Time
}

// reportUse counts work that a client asks for, and reports it to the peers. The caller must
// hold g.mu.
func (g *Gateway) reportUse(s *serviceGate, service string, now time.Time, workspace uint64, work time.Duration) {
	s.usage.Record(g.clock(now), workspace, work)
	s.report.message.AddWorkspaceUse(peers.WorkspaceUse{Service: service, Workspace: workspace, Requests: 1, WorkMS: work.Milliseconds()})
	if now.Sub(s.report.sentAt) < usageInterval {
		return
	}
	uses := s.report.message.WorkspaceUses
	s.report.message, s.report.sentAt = peers.Message{}, now
	g.hub.Broadcast(func(_ fleet.Peer, m *peers.Message) {
		for _, use := range uses {
			m.AddWorkspaceUse(use)
		}
	})
}

// receiveAdmission applies what a peer reports of its clients. The caller must hold g.mu.
func (g *Gateway) receiveAdmission(now time.Time, m *peers.Message) {
	if !g.underPressure {
		return
	}
	for service, s := range g.gates {
		s.usage.Heard(g.clock(now), m.From.Name)
		if len(m.Loads) > 0 {
			g.dispatchWaiting(service)
		}
	}
	config := g.State.View().Config
	for _, use := range m.WorkspaceUses {
		if config == nil || config.Services[use.Service] == nil {
			continue
		}
		s := g.gate(use.Service)
		if !s.usage.Report(g.clock(now), m.From.Name, admission.Use{Workspace: use.Workspace, Requests: use.Requests,
			Work: time.Duration(min(max(use.WorkMS, -1), maxReportMS)) * time.Millisecond, Usual: use.UsualMS / 1000}) {
			g.reportBoundedUse(s, now, m.From.Name, &use)
		}
	}
	for _, r := range m.Refusals {
		in := time.Duration(min(max(r.InMS, 0), maxReportMS)) * time.Millisecond
		age := time.Duration(min(max(r.AgeMS, 0), maxReportMS)) * time.Millisecond
		g.returns.Add(admission.Refusal{Key: r.Key, At: g.clock(now) + in, First: g.clock(now) - age})
	}
}

// maxReportMS bounds the times that peers report, in milliseconds, to avoid an overflow. It
// is above all times that can be meant.
const maxReportMS = int64(time.Hour / time.Millisecond)

// reportBoundedUse counts and logs a report of impossible work.
func (g *Gateway) reportBoundedUse(s *serviceGate, now time.Time, peer string, use *peers.WorkspaceUse) {
	g.Metrics.Add("admission_bounded_reports", 1)
	if now.Sub(s.report.boundLoggedAt) < boundedUseLogInterval {
		return
	}
	s.report.boundLoggedAt = now
	g.Log.Warn("A peer reported more work than is possible.", "peer", peer, "service", use.Service,
		"requests", use.Requests, "work_ms", use.WorkMS)
}

// addUsage adds the recent work of this entry's clients to the initial state for a peer. The
// caller must hold g.mu.
func (g *Gateway) addUsage(m *peers.Message) {
	now := g.clock(time.Now())
	for service, s := range g.gates {
		for _, use := range s.usage.Own(now) {
			m.AddWorkspaceUse(peers.WorkspaceUse{Service: service, Workspace: use.Workspace,
				WorkMS: use.Work.Milliseconds(), UsualMS: use.Usual * 1000})
		}
	}
}

// identify sets the key by which a request is known when its client returns after a refusal.
// It reads the whole body, so g.mu must not be held.
func (c *clientRequest) identify() {
	d := xxhash.New()
	// Writes to a digest do not fail.
	_, _ = d.WriteString(c.workspaceName())
	_, _ = d.WriteString("\x00" + c.r.Method + "\x00" + c.r.RequestURI + "\x00")
	if n := len(c.prompt); n > 0 {
		_, _ = d.Write(binary.BigEndian.AppendUint64(nil, c.prompt[n-1].Key))
	}
	_, _ = d.Write(c.body)
	c.returnKey = d.Sum64()
}

// reportRefusal remembers a refused request and reports it to the entries to which its
// client may return.
func (g *Gateway) reportRefusal(c *clientRequest, now time.Time, after time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.returns.Add(admission.Refusal{Key: c.returnKey, At: g.clock(now.Add(after)), First: g.clock(c.firstArrival)})
	refusal := peers.Refusal{Key: c.returnKey, InMS: after.Milliseconds(), AgeMS: now.Sub(c.firstArrival).Milliseconds()}
	g.hub.Broadcast(func(to fleet.Peer, m *peers.Message) {
		if g.sameRegion(to) {
			m.Refusals = append(m.Refusals, refusal)
		}
	})
}

// loadDelta returns the smallest change of pending work at a server of a service that is
// reported to peers in other regions. The caller must hold g.mu.
func (g *Gateway) loadDelta(service string) time.Duration {
	if s := g.gates[service]; s != nil && s.full {
		return shortLoadDelta
	}
	return crossRegionLoadDelta
}

// logRoom records whether requests have to wait, and logs it when it changes. The caller
// must hold g.mu.
func (g *Gateway) logRoom(s *serviceGate, service string, now time.Time, full bool) {
	if s.full == full || now.Sub(s.fullSince) < roomLogInterval && !full {
		return
	}
	s.full, s.fullSince = full, now
	message := "The servers of a service have room again."
	if full {
		message = "The servers of a service are full; requests wait or are refused."
	}
	g.Log.Info(message, "service", service, "servers", s.conditions.Servers, "free", s.conditions.Free,
		"share", s.conditions.Share, "waiting", s.Waiting())
}

// serviceAdmission is the state of one service's gate in the metrics.
type serviceAdmission struct {
	Waiting int     `json:"waiting"`
	Servers float64 `json:"servers"`
	Free    float64 `json:"free"`
	Share   float64 `json:"share"`
	Demand  float64 `json:"demand"`
	AgeMS   int64   `json:"age_ms"` // of the room
	Full    bool    `json:"full"`
	// WaitingBy counts the waiting requests by route and workspace.
	WaitingBy map[string]int `json:"waiting_by,omitempty"`
}

// admissionState returns the room of each service as this entry believes it, and its age.
func (g *Gateway) admissionState() map[string]serviceAdmission {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make(map[string]serviceAdmission, len(g.gates))
	for service, s := range g.gates {
		a := serviceAdmission{Waiting: s.Waiting(), Servers: s.conditions.Servers, Free: s.conditions.Free,
			Share: s.conditions.Share, Demand: s.conditions.Demand, AgeMS: now.Sub(s.seenAt).Milliseconds(), Full: s.full}
		for _, w := range s.waiters {
			if a.WaitingBy == nil {
				a.WaitingBy = make(map[string]int)
			}
			a.WaitingBy[w.c.route.Name+"/"+w.c.workspaceName()]++
		}
		out[service] = a
	}
	return out
}

// pruneAdmission drops what is known of services and peers that no longer exist. The caller
// must hold g.mu.
func (g *Gateway) pruneAdmission(view *fleet.View) {
	g.returns.Expire(g.clock(time.Now()))
	for service, s := range g.gates {
		if view.Config != nil && view.Config.Services[service] == nil && s.Waiting() == 0 {
			delete(g.gates, service)
			continue
		}
		s.usage.Retain(func(peer string) bool {
			_, registered := view.Peers[peer]
			return registered || g.hub.IsLive(peer)
		})
	}
}
