package agent

import (
	"fmt"

	"hyssoploom/config"
	"hyssoploom/link"
)

// Codes of refusals. A refused request was not sent to the backend server, or the
// backend server certainly did not run it.
const (
	codeDraining         = "agent_draining"
	codeConfigBehind     = "config_behind"
	codeNoConfig         = "no_config"
	codeWorkspace        = "workspace_unknown"
	codeModelForbidden   = "model_forbidden"
	codeServiceForbidden = "service_forbidden"
	codeVersionWithdrawn = "version_withdrawn"
	codeVersionDraining  = "version_draining"
	codeQuarantined      = "version_quarantined"
	codeDataCentreOut    = link.CodeDataCentreOut
	codeLeaving          = link.CodeLeaving
	codeNotServed        = "not_served"
	codeNotLoaded        = "not_loaded"
	codeDeadline         = link.CodeDeadline
	codeExposure         = "exposure_budget"
	codeUnreachable      = "backend_unreachable"
	codeOverloaded       = "backend_overloaded"
	codeCancelled        = "cancelled"
	codeStore            = "store_unavailable"
	codeLedgerFull       = "ledger_full"
	codeSuperseded       = "reservation_superseded"
)

// serverState holds the state of the backend server and its agent that the rules depend
// on besides the configuration.
type serverState struct {
	name        string // of the backend server
	dataCentre  string
	vmLeaving   bool
	draining    bool
	quarantined func(model, version string) bool
	loaded      func(model, version string) bool
}

// checkRules checks whether the request may run on this backend server now. It uses only
// the given view of the configuration. It returns nil if the request may run.
func checkRules(view *config.View, s serverState, r *link.Request) *link.Refusal {
	if refusal := checkServer(view, s); refusal != nil {
		return refusal
	}
	workspace, ok := view.Workspaces[r.Workspace]
	if !ok {
		return refuse(view, codeWorkspace, "workspace %q does not exist", r.Workspace)
	}
	if r.Kind == link.KindService {
		return checkService(view, s, workspace, r)
	}
	return checkModel(view, s, workspace, r)
}

// checkServer checks whether the backend server may run any request.
func checkServer(view *config.View, s serverState) *link.Refusal {
	server, ok := view.BackendServers[s.name]
	switch {
	case s.draining:
		return refuse(view, codeDraining, "the agent of backend server %q is draining", s.name)
	case view.Revision == 0:
		return refuse(view, codeNoConfig, "the agent has no configuration yet")
	case !ok:
		return refuse(view, codeLeaving, "backend server %q has no record", s.name)
	case server.State != config.BackendServerIn || s.vmLeaving:
		return refuse(view, codeLeaving, "backend server %q is leaving", s.name)
	}
	centre, ok := view.DataCentres[s.dataCentre]
	if !ok || centre.State != config.DataCentreIn {
		return refuse(view, codeDataCentreOut, "data centre %q is out", s.dataCentre)
	}
	return nil
}

// checkModel checks whether the workspace may use the request's version and whether the
// backend server serves it.
func checkModel(view *config.View, s serverState, w *config.Workspace, r *link.Request) *link.Refusal {
	if !w.Allows(r.Model, r.Version) {
		return refuse(view, codeModelForbidden, "workspace %q may not use %s@%s", w.Name, r.Model, r.Version)
	}
	model, ok := view.Models[r.Model]
	if !ok {
		return refuse(view, codeModelForbidden, "model %q does not exist", r.Model)
	}
	version, ok := model.Version(r.Version)
	switch {
	case !ok || version.State == config.VersionWithdrawn:
		return refuse(view, codeVersionWithdrawn, "%s@%s is withdrawn", r.Model, r.Version)
	case s.quarantined(r.Model, r.Version):
		return refuse(view, codeQuarantined, "%s@%s is in quarantine", r.Model, r.Version)
	case version.State == config.VersionDraining && !r.Pinned:
		return refuse(view, codeVersionDraining, "%s@%s takes no new sessions", r.Model, r.Version)
	}
	if !serves(view.BackendServers[s.name], r.Model, r.Version) {
		return refuse(view, codeNotServed, "backend server %q does not serve %s@%s", s.name, r.Model, r.Version)
	}
	if !s.loaded(r.Model, r.Version) {
		return refuse(view, codeNotLoaded, "%s@%s is not loaded on %q", r.Model, r.Version, s.name)
	}
	return nil
}

// checkService checks whether the workspace may use the request's service and whether
// the backend server provides it.
func checkService(view *config.View, s serverState, w *config.Workspace, r *link.Request) *link.Refusal {
	if !w.AllowsService(r.Service) {
		return refuse(view, codeServiceForbidden, "workspace %q may not use service %q", w.Name, r.Service)
	}
	if view.BackendServers[s.name].Service != r.Service {
		return refuse(view, codeNotServed, "backend server %q does not serve %q", s.name, r.Service)
	}
	return nil
}

// serves reports whether the record assigns the version to the backend server.
func serves(server *config.BackendServer, model, version string) bool {
	for _, p := range server.Serves {
		if p.Model == model && p.Version == version {
			return true
		}
	}
	return false
}

// refuse returns a refusal that is based on the given view.
func refuse(view *config.View, code, format string, args ...any) *link.Refusal {
	return &link.Refusal{Code: code, Message: fmt.Sprintf(format, args...), Revision: view.Revision}
}
