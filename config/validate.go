package config

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Merge returns the view that results from writing the declarations over the
// records in force. With prune, only the declarations remain.
func Merge(v *View, decls []Declaration, prune bool) *View {
	out := newView()
	if !prune {
		for key, e := range v.envelopes {
			out.put(key, v.revisions[key], e)
		}
	}
	for _, d := range decls {
		out.put(d.Key(), 0, Envelope{SchemaVersion: d.SchemaVersion, Kind: d.Kind, Name: d.Name, Spec: d.Spec})
	}
	return out
}

// ValidateChange validates the view that results from the declarations. It reports
// faults of the declared records and those that the change would cause in
// others, but not those that other records have already.
func ValidateChange(v *View, decls []Declaration, prune bool) []Issue {
	before := Validate(v)
	files := map[string]string{}
	for _, d := range decls {
		files[recordName(d.Kind, d.Name)] = d.File
	}
	var issues []Issue
	for _, i := range Validate(Merge(v, decls, prune)) {
		file, declared := files[i.Record]
		if !declared && slices.Contains(before, i) {
			continue
		}
		i.File = file
		issues = append(issues, i)
	}
	return issues
}

// Validate reports references between records that do not resolve and values
// that must be unique but are not.
func Validate(v *View) []Issue {
	c := &crossChecker{view: v}
	for _, w := range v.Workspaces {
		c.workspace(w)
	}
	for _, k := range v.Cascades {
		c.cascade(recordName(KindCascade, k.Name), k)
	}
	for _, b := range v.BackendServers {
		c.backendServer(b)
	}
	c.keyHashes()
	c.agentAddrs()
	slices.SortFunc(c.issues, func(a, b Issue) int {
		return cmp.Or(cmp.Compare(a.Record, b.Record), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Reason, b.Reason))
	})
	return c.issues
}

type crossChecker struct {
	view   *View
	issues []Issue
}

func (c *crossChecker) fail(record, key, format string, args ...any) {
	c.issues = append(c.issues, Issue{Record: record, Key: key, Reason: fmt.Sprintf(format, args...)})
}

// known fails for a name that a map lacks.
func known[T any](c *crossChecker, record, key string, kind Kind, m map[string]T, name string) bool {
	if _, ok := m[name]; !ok {
		c.fail(record, key, "unknown %s %q", kind, name)
		return false
	}
	return true
}

// version fails for a model version that does not exist.
func (c *crossChecker) version(record, key, model, version string) {
	if !known(c, record, key, KindModel, c.view.Models, model) {
		return
	}
	if _, ok := c.view.Models[model].Version(version); !ok {
		c.fail(record, key, "model %q has no version %q", model, version)
	}
}

func (c *crossChecker) workspace(w *Workspace) {
	record := recordName(KindWorkspace, w.Name)
	granted := map[string]bool{}
	for i, g := range w.Allow {
		granted[g.Model] = true
		key := fmt.Sprintf("allow[%d]", i)
		if !known(c, record, key+".model", KindModel, c.view.Models, g.Model) {
			continue
		}
		for _, version := range g.Versions {
			c.version(record, key+".versions", g.Model, version)
		}
	}
	for _, name := range w.Services {
		known(c, record, "services", KindService, c.view.Services, name)
	}
	for _, name := range w.Cascades {
		if known(c, record, "cascades", KindCascade, c.view.Cascades, name) {
			c.grantedStages(record, c.view.Cascades[name], granted)
		}
	}
}

// grantedStages fails for a stage that the workspace may not use: the cascade
// could never escalate to it.
func (c *crossChecker) grantedStages(record string, k *Cascade, granted map[string]bool) {
	for _, model := range k.Stages {
		if !granted[model] {
			c.fail(record, "cascades", "cascade %q uses model %q, which the workspace does not allow", k.Name, model)
		}
	}
}

func (c *crossChecker) cascade(record string, k *Cascade) {
	if _, ok := c.view.Models[k.Name]; ok {
		c.fail(record, "name", "is the name of a model too; callers could not tell them apart")
	}
	for _, model := range k.Stages {
		known(c, record, "stages", KindModel, c.view.Models, model)
	}
}

func (c *crossChecker) backendServer(b *BackendServer) {
	record := recordName(KindBackendServer, b.Name)
	known(c, record, "data_centre", KindDataCentre, c.view.DataCentres, b.DataCentre)
	if b.Service != "" {
		known(c, record, "service", KindService, c.view.Services, b.Service)
	}
	for i, p := range b.Serves {
		c.version(record, fmt.Sprintf("serves[%d]", i), p.Model, p.Version)
	}
}

// keyHashes fails for a hash that several workspaces list.
func (c *crossChecker) keyHashes() {
	owner := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.view.Workspaces)) {
		for _, h := range c.view.Workspaces[name].KeyHashes {
			if other, ok := owner[h]; ok && other != name {
				c.fail(recordName(KindWorkspace, name), "key_hashes", "%s… belongs to workspace %q too", h[:8], other)
				continue
			}
			owner[h] = name
		}
	}
}

// agentAddrs fails for an address that several backend servers use.
func (c *crossChecker) agentAddrs() {
	owner := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.view.BackendServers)) {
		addr := c.view.BackendServers[name].AgentAddr
		if other, ok := owner[addr]; ok {
			c.fail(recordName(KindBackendServer, name), "agent_addr", "%s belongs to backend server %q too", addr, other)
			continue
		}
		owner[addr] = name
	}
}
