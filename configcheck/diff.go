package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"hyssoploom/fleet"
)

// Op is what happens to an entry.
type Op string

// The operations of a change.
const (
	Added   Op = "added"
	Removed Op = "removed"
	Changed Op = "changed"
)

// Change is one difference from the version in force.
type Change struct {
	Op    Op     `json:"op"`
	Entry string `json:"entry"`
	// Field and Line are where the new value is written; for a removed entry, where it is in
	// the version in force.
	Field string `json:"field,omitempty"`
	Line  int    `json:"line,omitempty"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
	// Loss is what callers may lose by it; empty if nothing.
	Loss string `json:"loss,omitempty"`
}

// property is a field of an entry as it is compared: its value as text, and what callers
// may lose if it changes.
type property[T any] struct {
	field Field
	text  func(T) string
	loss  func(old, new T) string
	// show returns what is shown in place of the text; the text itself if it is nil.
	show func(old, new T) (was, is string)
}

// Diff returns what differs between the version in force and the next one. Entries are
// identified by their names. Keys are counted, not shown.
func Diff(old, next *Document) []Change {
	var changes []Change
	changes = append(changes, diffList(old, next, Routes, old.Routes, next.Routes, func(r *fleet.Route) string { return r.Name }, routeProperties, "its callers get 404 or go to another route")...)
	changes = append(changes, diffList(old, next, Services, old.Services, next.Services, func(s *fleet.Service) string { return s.Name }, serviceProperties, "requests to it are refused")...)
	changes = append(changes, diffList(old, next, Workspaces, old.Workspaces, next.Workspaces, func(w Workspace) string { return w.Name }, workspaceProperties, "its callers get 401")...)
	if was, is := len(old.Workspaces) > 0, len(next.Workspaces) > 0; was != is {
		c := Change{Op: Changed, Entry: "workspaces", Old: "no keys are needed", New: "routes that are not public need a key", Loss: "callers without a key get 401"}
		if was {
			c.Old, c.New, c.Loss = c.New, c.Old, "anybody may call all routes"
		}
		changes = append(changes, c)
	}
	changes = append(changes, diffEntry(next, Limits, 0, old.Limits, next.Limits, limitProperties)...)
	return changes
}

func diffList[T any](old, next *Document, list List, before, after []T, name func(T) string, properties []property[T], removedLoss string) []Change {
	var changes []Change
	find := func(in []T, n string) int { return slices.IndexFunc(in, func(e T) bool { return name(e) == n }) }
	for i, e := range before {
		if find(after, name(e)) < 0 {
			at := field(list, i, FieldName)
			location := old.location(at)
			changes = append(changes, Change{Op: Removed, Entry: old.entry(at), Field: location.Path, Line: location.Line, Loss: removedLoss})
		}
	}
	for i, e := range after {
		switch was := find(before, name(e)); {
		case was >= 0:
			changes = append(changes, diffEntry(next, list, i, before[was], e, properties)...)
		case find(after, name(e)) == i: // not a repeated name
			at := field(list, i, FieldName)
			location := next.location(at)
			changes = append(changes, Change{Op: Added, Entry: next.entry(at), Field: location.Path, Line: location.Line})
		}
	}
	return changes
}

func diffEntry[T any](next *Document, list List, i int, before, after T, properties []property[T]) []Change {
	var changes []Change
	for _, p := range properties {
		was, is := p.text(before), p.text(after)
		if was == is {
			continue
		}
		at := field(list, i, p.field)
		location := next.location(at)
		if p.show != nil {
			was, is = p.show(before, after)
		}
		c := Change{Op: Changed, Entry: next.entry(at), Field: location.Path, Line: location.Line, Old: was, New: is}
		if p.loss != nil {
			c.Loss = p.loss(before, after)
		}
		changes = append(changes, c)
	}
	return changes
}

// lossIf returns a loss function that applies if a condition holds.
func lossIf[T any](condition func(old, new T) bool, loss string) func(old, new T) string {
	return func(old, new T) string {
		if condition(old, new) {
			return loss
		}
		return ""
	}
}

type routePair = func(old, new *fleet.Route) bool

var routeProperties = []property[*fleet.Route]{
	{field: FieldHost, text: func(r *fleet.Route) string { return strings.ToLower(r.Host) }, loss: always[*fleet.Route]("callers of the old host get 404 or go to another route")},
	{field: FieldPrefix, text: func(r *fleet.Route) string { return r.Prefix }, loss: always[*fleet.Route]("callers of the old prefix get 404 or go to another route")},
	{field: FieldKind, text: func(r *fleet.Route) string { return r.Kind.String() }, loss: func(old, new *fleet.Route) string {
		if new.Repeatable() && !old.Repeatable() {
			return "requests may run more than once"
		}
		if old.Repeatable() && !new.Repeatable() {
			return "requests that fail are not sent again"
		}
		return ""
	}},
	{field: FieldTimeout, text: func(r *fleet.Route) string { return duration(r.Timeout) }, loss: lossIf(routePair(func(old, new *fleet.Route) bool {
		return lower(int64(old.Timeout), int64(new.Timeout))
	}), "requests that take longer are ended")},
	{field: FieldLatencyTarget, text: func(r *fleet.Route) string { return duration(r.LatencyTarget) }},
	{field: FieldGapTarget, text: func(r *fleet.Route) string { return duration(r.GapTarget) }},
	{field: FieldPriority, text: func(r *fleet.Route) string { return fmt.Sprint(r.Priority) }, loss: lossIf(routePair(func(old, new *fleet.Route) bool {
		return new.Priority > old.Priority
	}), "its requests wait behind more others while room is short")},
	{field: FieldModels, text: func(r *fleet.Route) string { return cmp.Or(strings.Join(r.Models, ", "), "none") }},
	{field: FieldServices, text: func(r *fleet.Route) string { return split(r) }},
	{field: FieldMaxAttempts, text: func(r *fleet.Route) string { return fmt.Sprint(r.MaxAttempts) }, loss: lossIf(routePair(func(old, new *fleet.Route) bool {
		return new.MaxAttempts < old.MaxAttempts
	}), "more requests fail with their backend server")},
	{field: FieldPublic, text: func(r *fleet.Route) string { return fmt.Sprint(r.Public) }, loss: func(old, _ *fleet.Route) string {
		if old.Public {
			return "callers without a key get 401"
		}
		return "anybody may call it"
	}},
	{field: FieldAffinity, text: func(r *fleet.Route) string { return fmt.Sprint(r.SessionAffinity) }},
	{field: FieldResumable, text: func(r *fleet.Route) string { return fmt.Sprint(r.Resumable) }, loss: lossIf(routePair(func(old, _ *fleet.Route) bool {
		return old.Resumable
	}), "streams that are broken off are not continued")},
	{field: FieldRegions, text: func(r *fleet.Route) string { return regions(r.Regions) }, loss: func(old, new *fleet.Route) string {
		return narrowed(old.Regions, new.Regions)
	}},
}

var serviceProperties = []property[*fleet.Service]{
	{field: FieldHealthPath, text: func(s *fleet.Service) string { return cmp.Or(s.HealthPath, "none") }},
	{field: FieldMaxConnections, text: func(s *fleet.Service) string { return fmt.Sprint(s.MaxConnections) }},
	{field: FieldColdStart, text: func(s *fleet.Service) string { return duration(s.ColdStart) }},
	{field: FieldColdRate, text: func(s *fleet.Service) string { return fmt.Sprint(s.ColdRate) }},
	{field: FieldEngine, text: func(s *fleet.Service) string { return engine(s.Engine) }},
}

var workspaceProperties = []property[Workspace]{
	{field: FieldKeys, text: sortedKeys, loss: lossIf(func(old, new Workspace) bool {
		return countMissing(old.Keys, new.Keys) > 0
	}, "callers with a removed key get 401"), show: func(old, new Workspace) (was, is string) {
		return fmt.Sprintf("%d keys", len(old.Keys)), fmt.Sprintf("%d keys: %d removed, %d added",
			len(new.Keys), countMissing(old.Keys, new.Keys), countMissing(new.Keys, old.Keys))
	}},
	{field: FieldPriority, text: func(w Workspace) string { return fmt.Sprint(w.Priority) }},
	{field: FieldRegions, text: func(w Workspace) string { return regions(w.Regions) }, loss: func(old, new Workspace) string {
		return narrowed(old.Regions, new.Regions)
	}},
}

var limitProperties = []property[fleet.Limits]{
	{field: FieldHeaderBytes, text: func(l fleet.Limits) string { return fmt.Sprint(l.HeaderBytes) }, loss: lossIf(func(old, new fleet.Limits) bool {
		return lower(int64(old.HeaderBytes), int64(new.HeaderBytes))
	}, "requests with larger heads get 431")},
	{field: FieldBodyBytes, text: func(l fleet.Limits) string { return fmt.Sprint(l.BodyBytes) }, loss: lossIf(func(old, new fleet.Limits) bool {
		return lower(old.BodyBytes, new.BodyBytes)
	}, "requests with larger bodies get 413")},
	{field: FieldHeaderTimeout, text: func(l fleet.Limits) string { return duration(l.HeaderTimeout) }, loss: lossIf(func(old, new fleet.Limits) bool {
		return lower(int64(old.HeaderTimeout), int64(new.HeaderTimeout))
	}, "slower clients are cut off")},
	{field: FieldIdleTimeout, text: func(l fleet.Limits) string { return duration(l.IdleTimeout) }},
}

func always[T any](loss string) func(old, new T) string { return func(T, T) string { return loss } }

// lower reports whether a limit is lower than before; 0 stands for the default.
func lower(old, new int64) bool { return new > 0 && new < old }

// narrowed returns the loss if some of the old regions are no longer allowed.
func narrowed(old, new []string) string {
	if len(new) == 0 {
		return ""
	}
	for _, region := range old {
		if !slices.Contains(new, region) {
			return "requests are refused while no backend server in the remaining regions is free"
		}
	}
	if len(old) == 0 {
		return "requests are refused while no backend server in these regions is free"
	}
	return ""
}

func sortedKeys(w Workspace) string { return strings.Join(slices.Sorted(slices.Values(w.Keys)), "\n") }

// countMissing returns how many keys are not among others.
func countMissing(keys, others []string) int {
	n := 0
	for _, key := range keys {
		if !slices.Contains(others, key) {
			n++
		}
	}
	return n
}

func duration(d time.Duration) string {
	if d == 0 {
		return "none"
	}
	return d.String()
}

func regions(list []string) string {
	if len(list) == 0 {
		return "all"
	}
	return strings.Join(list, ", ")
}

// split shows the services of a route with their weights.
func split(r *fleet.Route) string {
	var parts []string
	for _, w := range r.Services {
		if len(r.Services) == 1 {
			return w.Service
		}
		parts = append(parts, fmt.Sprintf("%s %v", w.Service, w.Weight))
	}
	return strings.Join(parts, ", ")
}

func engine(e *fleet.Engine) string {
	if e == nil {
		return "none"
	}
	parts := []string{fmt.Sprintf("%d slots, %d tokens, %d tokens an event", e.Slots, e.CacheTokens, e.EventTokens)}
	for _, m := range e.Models {
		parts = append(parts, fmt.Sprintf("%s at %v", m.Name, m.Cost))
	}
	return strings.Join(parts, ", ")
}
