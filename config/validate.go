package config

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Merge returns the view that results from writing the declarations to the records
// in force. With prune, records that are not declared are removed.
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
// problems of the declared records and problems that the change would cause in
// other records, but not those that other records already have.
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

// Validate reports references to records that do not exist, and duplicates of
// values that must be unique.
func Validate(v *View) []Issue {
	c := &viewChecker{view: v}
	for _, w := range v.Workspaces {
		c.workspace(w)
	}
	for _, k := range v.Cascades {
		c.cascade(recordName(KindCascade, k.Name), k)
	}
	for _, b := range v.BackendServers {
		c.backendServer(b)
	}
	c.uniqueKeyHashes()
	c.uniqueAgentAddrs()
	slices.SortFunc(c.issues, func(a, b Issue) int {
		return cmp.Or(cmp.Compare(a.Record, b.Record), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Reason, b.Reason))
	})
	return c.issues
}

// viewChecker collects the issues of one view.
type viewChecker struct {
	view   *View
	issues []Issue
}

func (c *viewChecker) addIssue(record, key, format string, args ...any) {
	c.issues = append(c.issues, Issue{Record: record, Key: key, Reason: fmt.Sprintf(format, args...)})
}

// requireExisting reports a reference to a name that is not in m, and returns
// whether the name exists.
func requireExisting[T any](c *viewChecker, record, key string, kind Kind, m map[string]T, name string) bool {
	if _, ok := m[name]; !ok {
		c.addIssue(record, key, "unknown %s %q", kind, name)
		return false
	}
	return true
}

// requireVersion reports a reference to a model version that does not exist.
func (c *viewChecker) requireVersion(record, key, model, version string) {
	if !requireExisting(c, record, key, KindModel, c.view.Models, model) {
		return
	}
	if _, ok := c.view.Models[model].Version(version); !ok {
		c.addIssue(record, key, "model %q has no version %q", model, version)
	}
}

func (c *viewChecker) workspace(w *Workspace) {
	record := recordName(KindWorkspace, w.Name)
	granted := map[string]bool{}
	for i, g := range w.Allow {
		granted[g.Model] = true
		key := fmt.Sprintf("allow[%d]", i)
		if !requireExisting(c, record, key+".model", KindModel, c.view.Models, g.Model) {
			continue
		}
		for _, version := range g.Versions {
			c.requireVersion(record, key+".versions", g.Model, version)
		}
	}
	for _, name := range w.Services {
		requireExisting(c, record, "services", KindService, c.view.Services, name)
	}
	for _, name := range w.Cascades {
		if requireExisting(c, record, "cascades", KindCascade, c.view.Cascades, name) {
			c.stagesAllowed(record, c.view.Cascades[name], granted)
		}
	}
}

// stagesAllowed reports each stage that the workspace may not use, because the
// cascade could never escalate to it.
func (c *viewChecker) stagesAllowed(record string, k *Cascade, granted map[string]bool) {
	for _, model := range k.Stages {
		if !granted[model] {
			c.addIssue(record, "cascades", "cascade %q uses model %q, which the workspace does not allow", k.Name, model)
		}
	}
}

func (c *viewChecker) cascade(record string, k *Cascade) {
	if _, ok := c.view.Models[k.Name]; ok {
		c.addIssue(record, "name", "is also the name of a model; the name in a request would be ambiguous")
	}
	for _, model := range k.Stages {
		requireExisting(c, record, "stages", KindModel, c.view.Models, model)
	}
}

func (c *viewChecker) backendServer(b *BackendServer) {
	record := recordName(KindBackendServer, b.Name)
	requireExisting(c, record, "data_centre", KindDataCentre, c.view.DataCentres, b.DataCentre)
	if b.Service != "" {
		requireExisting(c, record, "service", KindService, c.view.Services, b.Service)
	}
	for i, p := range b.Serves {
		c.requireVersion(record, fmt.Sprintf("serves[%d]", i), p.Model, p.Version)
	}
}

// uniqueKeyHashes reports each hash that several workspaces list.
func (c *viewChecker) uniqueKeyHashes() {
	owner := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.view.Workspaces)) {
		for _, h := range c.view.Workspaces[name].KeyHashes {
			if other, ok := owner[h]; ok && other != name {
				c.addIssue(recordName(KindWorkspace, name), "key_hashes", "%s… also belongs to workspace %q", h[:8], other)
				continue
			}
			owner[h] = name
		}
	}
}

// uniqueAgentAddrs reports each address that several backend servers use.
func (c *viewChecker) uniqueAgentAddrs() {
	owner := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.view.BackendServers)) {
		addr := c.view.BackendServers[name].AgentAddr
		if other, ok := owner[addr]; ok {
			c.addIssue(recordName(KindBackendServer, name), "agent_addr", "%s also belongs to backend server %q", addr, other)
			continue
		}
		owner[addr] = name
	}
}
