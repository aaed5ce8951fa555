package invariants

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"

	"hyssoploom/config"
	"hyssoploom/dialect"
	"hyssoploom/embedded"
	"hyssoploom/session"
	"hyssoploom/standin"
)

// modelVersion returns a version of the model small.
func modelVersion(name string, state config.VersionState, weight float64) config.ModelVersion {
	return config.ModelVersion{
		Version: name, State: state, Weight: weight, PriceIn: 1, PriceOut: 1, OnWithdraw: config.WithdrawRepin,
	}
}

func (f *fleet) putVersions(versions ...config.ModelVersion) {
	f.t.Helper()
	f.putAndWait(config.KindModel, "small", &config.Model{Versions: versions})
}

// startTwoVersions starts a fleet with two engines that serve versions 1 and 2 of the
// model small, of which only version 1 accepts new sessions.
func startTwoVersions(t *testing.T) (*fleet, *storeInterceptors) {
	t.Helper()
	spec := oneDataCentreSpec(engineSpec("small-1", "small", 6, 0), engineSpec("small-2", "small", 6, 0))
	for i := range 2 {
		b := &spec.Backends[i]
		b.Serves = append(b.Serves, config.Placement{Model: "small", Version: "2"})
		b.Engine.Loaded = append(b.Engine.Loaded, dialect.ModelRef{Model: "small", Version: "2"})
	}
	spec.RequestTimeout = 2 * time.Second
	f, s := startIntercepted(t, spec)
	f.putVersions(modelVersion("1", config.VersionActive, 1), modelVersion("2", config.VersionActive, 0))
	return f, s
}

// withSession adds a session id or token to a request.
func (r request) withSession(id, token string) request {
	r.header = make(map[string]string)
	if id != "" {
		r.header["X-Session-Id"] = id
	}
	if token != "" {
		r.header["X-Session-Token"] = token
	}
	return r
}

func (r response) version() string {
	_, v, _ := strings.Cut(r.header.Get("X-Model-Version"), "@")
	return v
}

func (r response) token() string { return r.header.Get("X-Session-Token") }

func (f *fleet) wantVersion(want string, r response) {
	f.t.Helper()
	if r.status != http.StatusOK || r.version() != want {
		f.t.Errorf("%s got %d, version %q, %s %v; want version %s", r.id, r.status, r.version(), r.body, r.err, want)
	}
}

// wantNotRun verifies that a request was refused as not run and did not reach an
// engine.
func (f *fleet) wantNotRun(code string, r response) {
	f.t.Helper()
	if e := r.error(); e.Run != "not_run" || code != "" && e.Code != code {
		f.t.Errorf("%s got %d %s, want not_run %s", r.id, r.status, r.body, code)
	}
	if n := len(f.engineRuns()[r.id]); n > 0 {
		f.t.Errorf("%s was refused and ran %d times", r.id, n)
	}
}

// Guards against a session that moves to another version because of a rollout, the
// crash of its entry, or a store outage.
func TestTokenKeepsVersionThroughRollout(t *testing.T) {
	t.Parallel()
	f, s := startTwoVersions(t)
	first := f.send(chat("first", "entry-1", "small", "x", false))
	f.wantVersion("1", first)
	steps := [][]config.ModelVersion{
		{modelVersion("1", config.VersionActive, 0.5), modelVersion("2", config.VersionActive, 0.5)},
		{modelVersion("1", config.VersionActive, 0), modelVersion("2", config.VersionActive, 1)},
		{modelVersion("1", config.VersionDraining, 0), modelVersion("2", config.VersionActive, 1)},
	}
	token := first.token()
	for i, versions := range steps {
		f.putVersions(versions...)
		for _, entry := range []string{"entry-1", "entry-2"} {
			r := f.send(chat(fmt.Sprintf("step-%d-%s", i, entry), entry, "small", "x", i%2 == 0).withSession("", token))
			f.wantVersion("1", r)
			token = r.token()
		}
	}
	f.wantVersion("2", f.send(chat("new", "entry-1", "small", "x", false)))
	f.crashEntry(s, "entry-1")
	f.Store.SetDown(true)
	f.wantVersion("1", f.send(chat("after-crash", "entry-2", "small", "x", false).withSession("", token)))
	f.wantVersion("1", f.send(chat("first-token", "entry-2", "small", "x", false).withSession("", first.token())))
}

// Guards against two versions in one session when its first two requests arrive
// concurrently at two entries and carry only the session id.
func TestConcurrentFirstRequestsOfSessionAgree(t *testing.T) {
	t.Parallel()
	f, _ := startTwoVersions(t)
	f.putVersions(modelVersion("1", config.VersionActive, 1), modelVersion("2", config.VersionActive, 1))
	seen := make(map[string]int)
	for i := range 20 {
		id := fmt.Sprintf("session-%d", i)
		both := f.sendConcurrently(chat(id+"-a", "entry-1", "small", "x", false).withSession(id, ""), chat(id+"-b", "entry-2", "small", "x", false).withSession(id, ""))
		f.wantVersion(both[0].version(), both[1])
		f.wantVersion(both[0].version(), f.send(chat(id+"-c", "entry-2", "small", "x", false).withSession(id, "")))
		seen[both[0].version()]++
	}
	if seen["1"] == 0 || seen["2"] == 0 {
		t.Errorf("sessions by version: %v, want some on each", seen)
	}
}

// Guards against entries that select the version of a session independently of each
// other while the store is down, and against a refusal of a session that the entry
// already knows.
func TestIDOnlyInOutage(t *testing.T) {
	t.Parallel()
	f, _ := startTwoVersions(t)
	known := f.send(chat("known", "entry-1", "small", "x", false).withSession("s", ""))
	f.wantVersion("1", known)
	f.putVersions(modelVersion("1", config.VersionDraining, 0), modelVersion("2", config.VersionActive, 1))
	f.Store.SetDown(true)
	f.wantVersion("1", f.send(chat("goes-on", "entry-1", "small", "x", false).withSession("s", "")))
	f.wantNotRun("session_unavailable", f.send(chat("unknown-here", "entry-2", "small", "x", false).withSession("s", "")))
	f.wantNotRun("session_unavailable", f.send(chat("unknown-id", "entry-1", "small", "x", false).withSession("other", "")))
	f.wantVersion("1", f.send(chat("with-token", "entry-2", "small", "x", false).withSession("s", known.token())))
	f.wantVersion("2", f.send(chat("no-session", "entry-2", "small", "x", false)))
}

// Guards against accepting a token that has expired or was not signed by the fleet for
// this workspace and session.
func TestInvalidTokens(t *testing.T) {
	t.Parallel()
	f, _ := startTwoVersions(t)
	good := session.Token{
		Workspace: "brydemaatte", Session: "s", Model: "small", Version: "2", Expires: time.Now().Add(time.Hour),
	}
	sign := func(key string, change func(*session.Token)) string {
		token := good
		change(&token)
		return session.NewSigner([]byte(key)).Sign(token)
	}
	unchanged := func(*session.Token) {}
	valid := sign(embedded.FleetKey, unchanged)
	f.wantVersion("2", f.send(chat("valid", "entry-1", "small", "x", false).withSession("s", valid)))
	tests := []struct{ name, id, token string }{
		{"forged", "", sign("another-key", unchanged)},
		{"changed", "", "A" + valid[1:]},
		{"cut", "", valid[:len(valid)-2]},
		{"expired", "", sign(embedded.FleetKey, func(s *session.Token) { s.Expires = time.Now().Add(-time.Second) })},
		{"other-workspace", "", sign(embedded.FleetKey, func(s *session.Token) { s.Workspace = "aljibe" })},
		{"other-session", "t", valid},
		{"one-of-two", "", valid + "," + sign("another-key", unchanged)},
	}
	for _, test := range tests {
		f.wantNotRun("session_token_invalid", f.send(chat(test.name, "entry-1", "small", "x", false).withSession(test.id, test.token)))
	}
}

// Guards against a draining version that drops its sessions or accepts new ones, also
// when no other version is active.
func TestSessionOnDrainingVersion(t *testing.T) {
	t.Parallel()
	f, _ := startTwoVersions(t)
	byToken := f.send(chat("by-token", "entry-1", "small", "x", false))
	f.wantVersion("1", f.send(chat("by-id", "entry-1", "small", "x", false).withSession("s", "")))
	states := map[string][]config.ModelVersion{
		"another-active": {modelVersion("1", config.VersionDraining, 0), modelVersion("2", config.VersionActive, 1)},
		"none-active":    {modelVersion("1", config.VersionDraining, 0)},
	}
	for _, state := range []string{"another-active", "none-active"} {
		f.putVersions(states[state]...)
		for _, entry := range []string{"entry-1", "entry-2"} {
			f.wantVersion("1", f.send(chat(state+entry+"-token", entry, "small", "x", false).withSession("", byToken.token())))
			f.wantVersion("1", f.send(chat(state+entry+"-id", entry, "small", "x", false).withSession("s", "")))
		}
	}
	f.wantNotRun("no_version", f.send(chat("new", "entry-1", "small", "x", false)))
	f.wantNotRun("", f.send(chat("new-id", "entry-1", "small", "x", false).withSession("new", "")))
}

// putQuarantine writes or lifts the quarantine of a version and waits until the change
// is in force.
func (f *fleet) putQuarantine(model, version string, lifted bool) {
	f.t.Helper()
	if err := f.writeQuarantine(model, version, lifted); err != nil {
		f.t.Fatal(err)
	}
	eventually(f.t, "the quarantine is in force", f.ConfigApplied)
}

// writeQuarantine writes the quarantine of a version as an entry does.
func (f *fleet) writeQuarantine(model, version string, lifted bool) error {
	raw, err := config.Encode(config.Envelope{
		SchemaVersion: config.LatestSchema(config.KindQuarantine), Kind: config.KindQuarantine, Name: model + "/" + version,
		Writer: "test", ChangeID: ulid.Make().String(), Deleted: lifted, Spec: &config.Quarantine{Reason: "test", Since: time.Now().UTC()},
	})
	if err != nil {
		return err
	}
	key := config.QuarantineKey(model, version)
	current, err := f.Store.Get(f.t.Context(), key)
	if err != nil && !errors.Is(err, dialect.ErrNotFound) {
		return err
	}
	_, err = f.Store.CompareAndSwap(f.t.Context(), dialect.Write{Key: key, Value: raw, ExpectedRevision: current.Revision})
	return err
}

// Guards against work on a version that is withdrawn or quarantined during a session,
// and against a session that is moved although the policy is to refuse, is refused
// although the policy is to move it, or moves back.
func TestVersionRemovedDuringSession(t *testing.T) {
	t.Parallel()
	for _, cause := range []string{"withdrawn", "quarantined"} {
		for _, policy := range []config.WithdrawPolicy{config.WithdrawRefuse, config.WithdrawRepin} {
			t.Run(cause+" "+string(policy), func(t *testing.T) {
				t.Parallel()
				f, _ := startTwoVersions(t)
				token := f.send(chat("token", "entry-1", "small", "x", false)).token()
				for _, entry := range []string{"entry-1", "entry-2"} {
					f.wantVersion("1", f.send(chat("id-"+entry, entry, "small", "x", false).withSession("s", "")))
				}
				oldVersion, newVersion := modelVersion("1", config.VersionActive, 0), modelVersion("2", config.VersionActive, 1)
				oldVersion.OnWithdraw = policy
				if cause == "withdrawn" {
					oldVersion.State = config.VersionWithdrawn
				}
				f.putVersions(oldVersion, newVersion)
				if cause == "quarantined" {
					f.putQuarantine("small", "1", false)
				}
				byToken := f.send(chat("then-token", "entry-1", "small", "x", false).withSession("", token))
				byID := f.send(chat("then-id", "entry-1", "small", "x", false).withSession("s", ""))
				f.wantVersion("2", f.send(chat("new", "entry-2", "small", "x", false)))
				if policy == config.WithdrawRefuse {
					f.wantNotRun("version_withdrawn", byToken)
					f.wantNotRun("version_withdrawn", byID)
					return
				}
				f.wantVersion("2", byToken)
				f.wantVersion("2", byID)
				if cause == "quarantined" {
					f.putQuarantine("small", "1", true)
				}
				f.putVersions(modelVersion("1", config.VersionActive, 1), modelVersion("2", config.VersionActive, 0))
				f.wantVersion("2", f.send(chat("back-token", "entry-2", "small", "x", false).withSession("", byToken.token())))
				f.wantVersion("2", f.send(chat("back-id-1", "entry-1", "small", "x", false).withSession("s", "")))
				f.wantVersion("2", f.send(chat("back-id-2", "entry-2", "small", "x", false).withSession("s", "")))
			})
		}
	}
}

// Guards against a stream that starts on one version and continues on another.
func TestStreamKeepsVersion(t *testing.T) {
	t.Parallel()
	f, _ := startTwoVersions(t)
	engines := []*standin.Engine{f.Backends["small-1"].Engine, f.Backends["small-2"].Engine}
	for _, e := range engines {
		e.SetFaults(standin.EngineFaults{HangAfter: 3})
	}
	done := f.sendAsync(chat("r", "entry-1", "small", "x", true))
	eventually(t, "the stream is running", func() bool { return len(f.engineRuns()["r"]) == 1 })
	f.putVersions(modelVersion("1", config.VersionWithdrawn, 0), modelVersion("2", config.VersionActive, 1))
	for _, e := range engines {
		e.SetFaults(standin.EngineFaults{})
		e.Restart()
	}
	r := <-done
	expected := strings.Join(standin.AnswerTokens("small", "1", "x", 6, false), "")
	if strings.Contains(r.body, "[DONE]") || !strings.HasPrefix(expected, r.content()) || r.error().Run != "unknown" {
		t.Errorf("got %q in %d %s; want a prefix of %q and an error", r.content(), r.status, r.body, expected)
	}
	// The stand-in engine refuses a text that is not its own, but other engines would
	// continue with it.
	if code := r.error().Code; code != "version_withdrawn" {
		t.Errorf("the stream ended with %q, want version_withdrawn before another attempt", code)
	}
	for _, run := range f.engineRuns()["r"] {
		if run.Version != "1" {
			t.Errorf("the stream continued on version %s", run.Version)
		}
	}
}

// Guards against a session on a version under test that moves to another version while
// ratings are delayed.
func TestExposureBudgetKeepsSession(t *testing.T) {
	t.Parallel()
	f, _ := startTwoVersions(t)
	versionUnderTest := modelVersion("2", config.VersionActive, 0)
	versionUnderTest.Baseline, versionUnderTest.ExposureBudget = "1", 2
	f.putVersions(modelVersion("1", config.VersionActive, 1), versionUnderTest)
	f.Rater.SetDown(true)
	token := session.NewSigner([]byte(embedded.FleetKey)).Sign(session.Token{
		Workspace: "brydemaatte", Session: "s", Model: "small", Version: "2", Expires: time.Now().Add(time.Hour),
	})
	for i := 0; ; i++ {
		r := f.send(chat(fmt.Sprintf("r-%d", i), "entry-1", "small", "x", false).withSession("", token))
		if r.status == http.StatusOK && i < 20 {
			f.wantVersion("2", r)
			continue
		}
		f.wantNotRun("", r)
		return
	}
}
