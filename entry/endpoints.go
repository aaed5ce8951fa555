package entry

import (
	"slices"
	"strings"
	"time"

	"hyssoploom/config"
	"hyssoploom/route"
)

// region returns the region of this entry's data centre, or "" if it is unknown.
func (e *Entry) region() string {
	if centre, ok := e.snapshot.View().DataCentres[e.settings.DataCentre]; ok {
		return centre.Region
	}
	return ""
}

// pick chooses one of the linked backend servers for the request.
func (e *Entry) pick(r route.Request) (*peer, error) {
	peers := e.links.all()
	slices.SortFunc(peers, func(a, b *peer) int { return strings.Compare(a.name, b.name) })
	view := e.snapshot.View()
	leaving := e.links.leavingVMs()
	endpoints := make([]route.Endpoint, 0, len(peers))
	byName := make(map[string]*peer, len(peers))
	for _, p := range peers {
		if endpoint, ok := endpoint(view, p, leaving); ok {
			endpoints = append(endpoints, endpoint)
			byName[p.name] = p
		}
	}
	e.randMu.Lock()
	decision, err := e.router.Pick(endpoints, r, e.rand)
	e.randMu.Unlock()
	if err != nil {
		return nil, err
	}
	return byName[decision.Endpoint], nil
}

// endpoint returns the router's description of a linked backend server. It returns
// false if there is no record of the server.
func endpoint(view *config.View, p *peer, leavingVMs map[string]bool) (route.Endpoint, bool) {
	server, ok := view.BackendServers[p.name]
	if !ok {
		return route.Endpoint{}, false
	}
	centre, known := view.DataCentres[server.DataCentre]
	status := p.client.Status()
	out := route.Endpoint{
		Name: p.name, DataCentre: server.DataCentre, Service: server.Service,
		Alive: status.Alive, Draining: status.Draining,
		Leaving:       server.State != config.BackendServerIn || leavingVMs[server.VM],
		DataCentreOut: !known || centre.State != config.DataCentreIn,
		Sent:          int(p.openStreams.Load()),
	}
	if known {
		out.Region = centre.Region
	}
	if load := status.Load; load != nil {
		out.Loaded = load.Loaded
		out.Running, out.Queued, out.Limit = load.Running, load.Queued, load.Limit
		out.Cold, out.FirstToken = load.Cold, load.FirstToken
		out.ReportAge = time.Since(status.LoadAt)
		out.Resumes = load.Resumes
	}
	return out, true
}

// leavingVMs returns the names of the VMs that the VM list reports as leaving.
func (l *links) leavingVMs() map[string]bool {
	out := make(map[string]bool)
	for _, vm := range l.vmList() {
		if vm.Leaving {
			out[vm.Name] = true
		}
	}
	return out
}

// serving reports whether any backend server with a live link has the version
// loaded.
func (l *links) serving(model, version string) bool {
	for _, p := range l.all() {
		status := p.client.Status()
		if status.Alive && status.Load != nil && slices.Contains(status.Load.Loaded, model+"@"+version) {
			return true
		}
	}
	return false
}

// resumable reports whether any backend server with a live link that is not in
// tried has the version loaded and can resume a partial answer.
func (l *links) resumable(model, version string, tried map[string]bool) bool {
	for _, p := range l.all() {
		status := p.client.Status()
		if tried[p.name] || !status.Alive || status.Load == nil || !status.Load.Resumes {
			continue
		}
		if slices.Contains(status.Load.Loaded, model+"@"+version) {
			return true
		}
	}
	return false
}

type linkSummary struct {
	Alive int `json:"alive"`
	Total int `json:"total"`
}

func (l *links) summary() linkSummary {
	var out linkSummary
	for _, p := range l.all() {
		out.Total++
		if p.client.Status().Alive {
			out.Alive++
		}
	}
	return out
}

// clock returns the monotonic time since the entry was created.
func (e *Entry) clock() time.Duration { return time.Since(e.started) }

// HasLinks reports whether at least n links to the backend servers of the records
// are up. Links opened from the VM list do not count, because they are renamed or
// replaced when the records arrive.
func (e *Entry) HasLinks(n int) bool {
	servers := e.snapshot.View().BackendServers
	for _, p := range e.links.all() {
		if _, ok := servers[p.name]; ok && p.client.Status().Alive {
			n--
		}
	}
	return n <= 0
}

// Serving reports whether any backend server with a live link has the version
// loaded.
func (e *Entry) Serving(model, version string) bool { return e.links.serving(model, version) }

// Ready reports whether the platform's load balancer should send requests to this
// entry.
func (e *Entry) Ready() bool { return e.ready() }

// Revision returns the revision of the records that this entry uses.
func (e *Entry) Revision() uint64 { return e.snapshot.Revision() }

// Quarantined reports whether this entry considers the version quarantined.
func (e *Entry) Quarantined(model, version string) bool { return e.health.Quarantined(model, version) }
