// Package configcheck finds what is wrong with an operators' configuration before it is
// sent: errors, entries that can never match, limits that contradict each other, and what
// differs from the version in force. It does no I/O; how a configuration is written is
// known to the caller, which decodes it into a Document.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"hyssoploom/fleet"
)

// List is a list of a document's entries.
type List string

// The lists. The limits and the whole document count as lists without entries.
const (
	Whole      List = ""
	Routes     List = "route"
	Services   List = "service"
	Workspaces List = "workspace"
	Limits     List = "limits"
)

// Field is a field of an entry.
type Field string

// The fields. An entry's fields have the names of those of fleet.Route, fleet.Service,
// fleet.Workspace and fleet.Limits.
const (
	FieldVersion        Field = "Version"
	FieldName           Field = "Name"
	FieldHost           Field = "Host"
	FieldPrefix         Field = "Prefix"
	FieldKind           Field = "Kind"
	FieldTimeout        Field = "Timeout"
	FieldLatencyTarget  Field = "LatencyTarget"
	FieldGapTarget      Field = "GapTarget"
	FieldPriority       Field = "Priority"
	FieldModels         Field = "Models"
	FieldServices       Field = "Services"
	FieldWeight         Field = "Weight"
	FieldMaxAttempts    Field = "MaxAttempts"
	FieldPublic         Field = "Public"
	FieldAffinity       Field = "SessionAffinity"
	FieldResumable      Field = "Resumable"
	FieldRegions        Field = "Regions"
	FieldKeys           Field = "Keys"
	FieldHealthPath     Field = "HealthPath"
	FieldMaxConnections Field = "MaxConnections"
	FieldColdStart      Field = "ColdStart"
	FieldColdRate       Field = "ColdRate"
	FieldEngine         Field = "Engine"
	FieldHeaderBytes    Field = "HeaderBytes"
	FieldBodyBytes      Field = "BodyBytes"
	FieldHeaderTimeout  Field = "HeaderTimeout"
	FieldIdleTimeout    Field = "IdleTimeout"
)

// Ref names a field of a document.
type Ref struct {
	List  List
	Index int // in the list
	Field Field
	// Item is the index in a field that holds several items, or -1.
	Item int
}

// Location is where a field is written.
type Location struct {
	// Path names the field as the file does, such as routes[2].kind.
	Path string
	Line int // 0 if the field is not in the file
}

// Document is a configuration as it is written: with duplicates, and in its order.
type Document struct {
	Version    int64
	Routes     []*fleet.Route
	Services   []*fleet.Service
	Workspaces []Workspace
	Limits     fleet.Limits
	// Locate returns where a field is written; nil if that is not known.
	Locate func(Ref) Location
}

// Workspace is a workspace with its keys, which are secret and never part of a finding.
type Workspace struct {
	fleet.Workspace
	Keys []string
}

// Process holds what the settings of the entries say about limits.
type Process struct {
	// RetryRatio is the number of retries per request, and RetrySlack the number of
	// further ones in a window.
	RetryRatio, RetrySlack float64
	// ExtraShare returns the second attempts per request of a service, and ExtraServices
	// are the services for which the settings name one.
	ExtraShare    func(service string) float64
	ExtraServices []string
	// Grace is the time between a stop and the end of a process.
	Grace time.Duration
	// LargestBody and HeadMemory are the bytes of memory for the largest body and for all
	// connections with the heads that are being read.
	LargestBody, HeadMemory int64
	// LargestHead is the number of bytes of a head that an entry accepts at most, whatever
	// the configuration allows.
	LargestHead int
	// Regions are the regions of the deployment.
	Regions []string
}

// Input is what the checks know.
type Input struct {
	*Document
	// Servers holds the backend servers by service, and OutOfService the data centres that
	// take no requests. Servers is nil if they are not known.
	Servers      map[string][]*fleet.BackendServer
	OutOfService map[string]bool
	// Process is nil if the settings of the entries are not known.
	Process *Process
	// InForce is nil if the version in force is not known.
	InForce *Document
}

// Severity ranks findings.
type Severity string

const (
	// Error means that entries reject the configuration, or that requests fail by it.
	Error Severity = "error"
	// Warning means that an entry can never match or that limits contradict each other.
	Warning Severity = "warning"
)

// Finding is one problem of a configuration.
type Finding struct {
	// Check is the name of the check that found it.
	Check    string   `json:"check"`
	Severity Severity `json:"severity"`
	Line     int      `json:"line,omitempty"`
	Field    string   `json:"field,omitempty"`
	// Entry names the entry, such as "route look".
	Entry   string `json:"entry,omitempty"`
	Problem string `json:"problem"`
	// Loss is what callers lose by it.
	Loss string `json:"loss"`
}

// checks are all checks in the order in which their findings are listed. Those that need
// what is not known find nothing.
var checks = []struct {
	name string
	run  func(*Input, *report)
}{
	{"values", checkValues}, {"names", checkNames}, {"references", checkReferences}, {"prefixes", checkPrefixes},
	{"hidden", checkHidden}, {"splits", checkSplits}, {"keys", checkKeys}, {"regions", checkRegions}, {"servers", checkServers},
	{"attempts", checkAttempts}, {"timeouts", checkTimeouts}, {"memory", checkMemory}, {"connections", checkConnections},
	{"version", checkVersion},
}

// Run returns the findings of all checks, errors first.
func Run(in *Input) []Finding {
	r := &report{document: in.Document}
	for _, c := range checks {
		r.check = c.name
		c.run(in, r)
	}
	slices.SortStableFunc(r.findings, func(a, b Finding) int { return cmp.Compare(a.Severity, b.Severity) })
	return r.findings
}

// report collects findings.
type report struct {
	document *Document
	check    string
	findings []Finding
}

func (r *report) add(severity Severity, at Ref, loss, problem string, args ...any) {
	location := r.document.location(at)
	r.findings = append(r.findings, Finding{
		Check: r.check, Severity: severity, Line: location.Line, Field: location.Path,
		Entry: r.document.entry(at), Problem: fmt.Sprintf(problem, args...), Loss: loss,
	})
}

func (r *report) error(at Ref, loss, problem string, args ...any) {
	r.add(Error, at, loss, problem, args...)
}

func (r *report) warn(at Ref, loss, problem string, args ...any) {
	r.add(Warning, at, loss, problem, args...)
}

func (d *Document) location(at Ref) Location {
	if d.Locate == nil {
		return Location{}
	}
	return d.Locate(at)
}

// entry names the entry of a field.
func (d *Document) entry(at Ref) string {
	switch at.List {
	case Routes:
		return "route " + d.Routes[at.Index].Name
	case Services:
		return "service " + d.Services[at.Index].Name
	case Workspaces:
		return "workspace " + d.Workspaces[at.Index].Name
	}
	return string(at.List)
}

func field(list List, index int, name Field) Ref { return Ref{list, index, name, -1} }

func item(list List, index int, name Field, i int) Ref { return Ref{list, index, name, i} }

// service returns the first service of a name, or nil.
func (d *Document) service(name string) *fleet.Service {
	for _, s := range d.Services {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// shareRegion reports whether two lists of regions have one in common. An empty list
// stands for all regions.
func shareRegion(a, b []string) bool {
	return len(a) == 0 || len(b) == 0 || slices.ContainsFunc(a, func(region string) bool { return slices.Contains(b, region) })
}
