package entry

import (
	"context"
	"errors"
	"net/http"

	"hyssoploom/config"
	"hyssoploom/dialect"
	"hyssoploom/rollout"
)

// codeNoVersion is the error code when no version can be assigned to a session.
const codeNoVersion = "no_version"

// assign chooses the version of a model for the request: the version that the session
// is pinned to if it may be kept, else a random one by weight. excludedVersion, unless
// empty, is not chosen by weight.
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

// assignOrDefer is like assign, but if no version takes new sessions and the
// session's version may be in the store, it returns a stage without a version. Binding
// the stage then looks up the version, so that an existing session can continue.
func (ch *chat) assignOrDefer(view *config.View, name, excludedVersion string) (stage, *apiError) {
	st, err := ch.assign(view, name, excludedVersion)
	if _, pinned := ch.pins[name]; err != nil && err.Code == codeNoVersion && ch.sessionIDOnly && !pinned {
		return stage{model: name}, nil
	}
	return st, err
}

// bind fixes the version for the session before the first attempt. If the caller sent
// only a session ID, the version in the store takes precedence; for a new session the
// assigned version is stored.
func (ch *chat) bind(ctx context.Context, st *stage) *apiError {
	if st.bound {
		return nil
	}
	st.chosenByRequest = !ch.sessionIDOnly
	if ch.sessionIDOnly {
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

// bindInStore returns the version that the store has for the session, which it creates
// if necessary. If the session may not keep that version, it is pinned to another one.
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

// revalidate checks the stage's version against the newest records before an attempt
// and assigns another one if necessary, so that neither a retry nor a later stage uses
// a version that was withdrawn in the meantime.
func (ch *chat) revalidate(ctx context.Context, st *stage, excludedVersion string) *apiError {
	if st.chosenByRequest && !ch.acceptsNewSession(st) {
		// The version that this request chose is no longer available, and the caller
		// has seen nothing of its answer: assign another one rather than refuse a new
		// session.
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

// acceptsNewSession reports whether the stage's version may still be used by a new
// session.
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
