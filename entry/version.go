package entry

import (
	"context"
	"errors"
	"net/http"

	"hyssoploom/config"
	"hyssoploom/dialect"
	"hyssoploom/rollout"
)

// codeNoVersion refuses a session for which no version may be chosen.
const codeNoVersion = "no_version"

// assign chooses the version of a model: the session's own while it may be
// kept, else one by weight. Except, when set, is a version that cannot take
// this request now.
func (ch *chat) assign(view *config.View, name, excludedVersion string) (stage, *apiError) {
	model, ok := view.Models[name]
	workspace, known := view.Workspaces[ch.workspace.Name]
	if !ok || !known || !workspace.AllowsModel(name) {
		return stage{}, refusal(http.StatusNotFound, "model_unknown", "model %q does not exist or is not allowed", name)
	}
	ch.entry.forgetInactiveSessions(model)
	quarantined := func(v string) bool { return ch.entry.health.Quarantined(name, v) }
	allowed := func(v string) bool { return workspace.Allows(name, v) && v != excludedVersion }

	if pin, ok := ch.pins[name]; ok {
		pinAllowed := func(v string) bool { return workspace.Allows(name, v) }
		switch rollout.DecidePin(model, pin, quarantined, pinAllowed) {
		case rollout.Keep:
			return stage{model: name, version: pin, pinned: true, bound: true}, nil
		case rollout.Refuse:
			return stage{}, refusal(http.StatusConflict, "version_withdrawn", "the session uses %s@%s, which was withdrawn", name, pin)
		}
		delete(ch.pins, name)
	}
	version, err := rollout.Assign(model, quarantined, allowed, ch.entry.uniform())
	if err != nil {
		return stage{}, unavailable(codeNoVersion, "%v", err)
	}
	return stage{model: name, version: version}, nil
}

// assignOrLookUp is assign for a session whose version may be in the store: such
// a session goes on when no version takes new sessions. The stage then has no
// version until it is bound.
func (ch *chat) assignOrDefer(view *config.View, name, excludedVersion string) (stage, *apiError) {
	st, err := ch.assign(view, name, excludedVersion)
	if _, pinned := ch.pins[name]; err != nil && err.Code == codeNoVersion && ch.idOnly && !pinned {
		return stage{model: name}, nil
	}
	return st, err
}

// bind fixes the version for the session before the first attempt. A caller
// that sends only an id gets the version that the store has, or creates it.
func (ch *chat) bind(ctx context.Context, st *stage) *apiError {
	if st.bound {
		return nil
	}
	st.chosenByRequest = !ch.idOnly
	if ch.idOnly {
		version, err := ch.bindInStore(ctx, *st)
		if err != nil {
			return err
		}
		st.pinned = version != st.version
		st.version = version
	}
	ch.pins[st.model] = st.version
	st.bound = true
	return nil
}

func (ch *chat) bindInStore(ctx context.Context, st stage) (string, *apiError) {
	ctx, span := ch.entry.deps.Tracing.Tracer.Start(ctx, "store")
	defer span.End()
	binder := ch.entry.sessions
	choose := func() (string, error) {
		if st.version == "" {
			return "", unavailable(codeNoVersion, "no version of model %q takes new sessions", st.model)
		}
		return st.version, nil
	}
	version, err := binder.Bind(ctx, ch.workspace.Name, ch.sessionID, st.model, choose)
	if err != nil {
		return "", sessionError(err)
	}
	ch.pins[st.model] = version
	kept, apiErr := ch.assign(ch.entry.snapshot.View(), st.model, "")
	if apiErr != nil {
		return "", apiErr
	}
	if kept.version == version {
		return version, nil
	}
	choose = func() (string, error) { return kept.version, nil }
	version, err = binder.Repin(ctx, ch.workspace.Name, ch.sessionID, st.model, version, choose)
	if err != nil {
		return "", sessionError(err)
	}
	return version, nil
}

func sessionError(err error) *apiError {
	var refused *apiError
	if errors.As(err, &refused) {
		return refused
	}
	if errors.Is(err, dialect.ErrUnavailable) || errors.Is(err, dialect.ErrUnknownOutcome) {
		return unavailable("session_unavailable", "the store is down; send %s to go on with a known session", headerSessionToken)
	}
	return unavailable("session_unavailable", "%v", err)
}

// renew checks the stage's version against the newest records before an
// attempt, so that neither a retry nor a later stage uses a version that was
// withdrawn meanwhile.
func (ch *chat) revalidate(ctx context.Context, st *stage, excludedVersion string) *apiError {
	if st.chosenByRequest && !ch.acceptsNewSession(st) {
		// The version that this request has chosen went before the caller saw
		// anything of it: a new session is not refused for that.
		delete(ch.pins, st.model)
		st.bound, st.chosenByRequest = false, false
	}
	fresh, err := ch.assignOrDefer(ch.entry.snapshot.View(), st.model, excludedVersion)
	if err != nil {
		return err
	}
	if st.bound && fresh.version == st.version {
		return nil
	}
	if !st.bound && excludedVersion != st.version && ch.acceptsNewSession(st) {
		return ch.bind(ctx, st)
	}
	*st = fresh
	return ch.bind(ctx, st)
}

// usable reports whether a version that was assigned earlier may still take a
// new session.
func (ch *chat) acceptsNewSession(st *stage) bool {
	view := ch.entry.snapshot.View()
	model, ok := view.Models[st.model]
	if !ok {
		return false
	}
	version, ok := model.Version(st.version)
	workspace := view.Workspaces[ch.workspace.Name]
	return ok && version.State == config.VersionActive && workspace != nil &&
		workspace.Allows(st.model, st.version) && !ch.entry.health.Quarantined(st.model, st.version)
}
