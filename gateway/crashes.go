package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssoploom/crashcause"
	"hyssoploom/fleet"
	"hyssoploom/peers"
)

const (
	// crashCheckInterval is the time after which a server is checked again for a crash. All
	// requests that break at the same moment share one check.
	crashCheckInterval = time.Second
	// maxLoggedParts limits the parts of a prompt in the log record of an attempt.
	maxLoggedParts = 8
	// soundTellInterval is how often the peers are told that a part is sound: half of the time
	// for which an answer shows so.
	soundTellInterval = time.Second
)

// crashCheck is a check whether a backend server has crashed.
type crashCheck struct {
	at      time.Time
	done    chan struct{} // closed when crashed is set
	crashed bool
}

// hashSuspectParts returns hashes of the parts of a prompt except the last, which belongs to
// the request itself, and a hash of the whole request, by which repeats of it are known.
// Unlike those of hashPrefixes the former do not depend on the parts before. A request
// without parts has none.
func hashSuspectParts(uri string, meta *RequestMeta) []uint64 {
	if len(meta.Parts) == 0 {
		return nil
	}
	var hashes []uint64
	whole := xxhash.New()
	fmt.Fprintln(whole, uri, meta.Model, meta.PromptTokens, meta.MaxOutput)
	for i, p := range meta.Parts {
		fmt.Fprintln(whole, p.ID, p.Tokens)
		if i < len(meta.Parts)-1 {
			hashes = append(hashes, xxhash.Sum64String(p.ID))
		}
	}
	return append(hashes, whole.Sum64())
}

// sharedPartIDs returns the ids of the parts of the prompt that other requests may have
// in common with it, at most maxLoggedParts of them, each with the hash by which blocks
// name it.
func (c *clientRequest) sharedPartIDs() []string {
	var ids []string
	for i, hash := range c.suspectParts[:min(max(len(c.suspectParts)-1, 0), maxLoggedParts)] {
		ids = append(ids, fmt.Sprintf("%s/%016x", c.meta.Parts[i].ID, hash))
	}
	return ids
}

// workspaceHash identifies the workspace of the request among the entries; 0 on public
// routes.
func (c *clientRequest) workspaceHash() uint64 {
	if c.workspace == nil {
		return 0
	}
	return xxhash.Sum64String(c.workspace.Name)
}

// rejectedByBlock reports whether a block rejects the request.
func (c *clientRequest) rejectedByBlock() bool {
	if len(c.suspectParts) == 0 {
		return false
	}
	g := c.g
	view := g.State.View()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.mergePublishedBlocks(now, view)
	b, blocked := g.crashes.Blocked(now, c.workspaceHash(), c.suspectParts)
	if !blocked {
		return false
	}
	c.blockedFor = max(crashcause.Retention-now.Sub(b.Since), transientRetryAfter)
	g.Metrics.Add("prompt_blocked", 1)
	return true
}

// recordBegun records that the answer to the request has begun.
func (c *clientRequest) recordBegun() {
	if len(c.suspectParts) == 0 {
		return
	}
	g := c.g
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.unanswered, c)
	now := time.Now()
	cleared := c.clearSuspects(func(t *crashcause.Tracker, parts []uint64) []uint64 { return t.RecordBegun(now, parts) })
	if len(cleared) > 0 {
		g.blocks.changed(now)
		g.hub.Broadcast(func(_ fleet.Peer, m *peers.Message) { m.SoundParts = append(m.SoundParts, cleared...) })
	}
}

// recordWhole records that a server has given the whole answer to the request.
func (c *clientRequest) recordWhole() {
	if len(c.suspectParts) == 0 {
		return
	}
	g := c.g
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.unanswered, c)
	now := time.Now()
	cleared := c.clearSuspects(func(t *crashcause.Tracker, parts []uint64) []uint64 { return t.RecordWhole(now, parts) })
	if len(cleared) > 0 {
		g.blocks.changed(now)
		g.hub.Broadcast(func(_ fleet.Peer, m *peers.Message) { m.WholeParts = append(m.WholeParts, cleared...) })
	}
}

// clearSuspects records an answer to the request with both trackers and returns the parts that
// were under suspicion. The blocks of whole requests are among those of parts.
func (c *clientRequest) clearSuspects(record func(*crashcause.Tracker, []uint64) []uint64) []uint64 {
	shared, whole := c.splitSuspectParts()
	return append(append(record(c.g.crashes, shared), record(c.g.requestCrashes, whole)...), record(c.g.crashes, whole)...)
}

// reportCrash records the request as a suspect if its connection ended because the server has
// crashed.
func (c *clientRequest) reportCrash(t target, entry *attemptLog, err error) {
	if len(c.suspectParts) == 0 || !isConnectionEnd(err) || !c.g.hasCrashed(c.ctx, t, c.connectionLimit()) {
		return
	}
	c.crashes++
	shared, whole := c.splitSuspectParts()
	g := c.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	suspect := entry.suspect(now, &t)
	suspect.Workspace, suspect.Parts = c.workspaceHash(), shared
	request := suspect
	request.Parts = whole
	suspect, sound := g.crashes.Add(now, suspect)
	request, soundRequest := g.requestCrashes.Add(now, request)
	if len(suspect.Parts) == 0 && len(request.Parts) == 0 {
		return
	}
	g.hub.Broadcast(func(_ fleet.Peer, m *peers.Message) {
		m.SoundParts = append(append(m.SoundParts, sound.Begun...), soundRequest.Begun...)
		if len(suspect.Parts) > 0 {
			m.CrashSuspects = append(m.CrashSuspects, suspectMessage(&suspect))
		}
		if len(request.Parts) > 0 {
			m.RequestSuspects = append(m.RequestSuspects, suspectMessage(&request))
		}
	})
	// The many requests whose answers were running are evaluated together, once the suspects
	// of other entries are here, unless a block may already explain the crash.
	if suspect.Phase != crashcause.Running || g.crashes.HasBlocks() {
		g.evaluateCrashes(now)
	}
}

// suspect describes an attempt that a server broke off because it crashed.
func (a *attemptLog) suspect(now time.Time, t *target) crashcause.Suspect {
	s := crashcause.Suspect{Server: processKey(t.server), SentFor: now.Sub(a.sentAt)}
	switch {
	case !a.bodyAt.IsZero():
		s.Phase, s.Age = crashcause.Running, now.Sub(a.bodyAt)
	case a.headReceived:
		s.Phase = crashcause.Begun
	}
	return s
}

// processKey identifies the process of a server.
func processKey(s *fleet.BackendServer) string {
	return s.ID + "/" + strconv.FormatInt(s.StartedAtMS, 10)
}

// splitSuspectParts returns the parts that other requests may share, and that of the whole
// request.
func (c *clientRequest) splitSuspectParts() (shared, whole []uint64) {
	n := max(len(c.suspectParts)-1, 0)
	return c.suspectParts[:n:n], c.suspectParts[n:]
}

// isConnectionEnd reports whether an exchange failed because the server closed or reset the
// connection.
func isConnectionEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// hasCrashed checks whether the process of a server has ended. limit is the largest number
// of connections to the server.
func (g *Gateway) hasCrashed(ctx context.Context, t target, limit int) bool {
	g.mu.Lock()
	check := t.load.crashCheck
	if check != nil && time.Since(check.at) < crashCheckInterval {
		g.mu.Unlock()
		select {
		case <-check.done:
			return check.crashed
		case <-ctx.Done():
			return false
		}
	}
	check = &crashCheck{at: time.Now(), done: make(chan struct{})}
	t.load.crashCheck = check
	g.mu.Unlock()
	check.crashed = g.Pool.Refuses(context.WithoutCancel(ctx), t.server.Address, limit)
	close(check.done)
	return check.crashed
}

// evaluateNow updates the blocks.
func (g *Gateway) evaluateNow() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.evaluateCrashes(time.Now())
}

// evaluateCrashes updates the blocks and informs the peers. The caller must hold g.mu.
func (g *Gateway) evaluateCrashes(now time.Time) {
	changed := g.crashes.Evaluate(now)
	if requests := g.requestCrashes.Evaluate(now); g.crashes.Merge(now, requests) {
		changed = append(changed, requests...)
	}
	if len(changed) == 0 {
		return
	}
	for _, b := range changed {
		g.Log.Warn("Backend servers crash under a part of prompts or a request; requests with it are rejected.",
			"parts", fmt.Sprintf("%016x", b.Parts), "workspaces", len(b.Workspaces), "any_point", b.AnyPoint)
	}
	g.Metrics.Add("prompt_blocks", int64(len(changed)))
	messages := blockMessages(now, changed)
	g.hub.Broadcast(func(_ fleet.Peer, m *peers.Message) { m.Blocks = append(m.Blocks, messages...) })
	g.blocks.changed(now)
	g.cancelBlocked(now)
}

// addUnanswered registers the function that cancels the attempt of a request.
func (g *Gateway) addUnanswered(c *clientRequest, cancel context.CancelFunc) {
	if len(c.suspectParts) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unanswered[c] = cancel
}

func (g *Gateway) removeUnanswered(c *clientRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.unanswered, c)
}

// cancelBlocked cancels the requests that wait at servers and are rejected by now, before
// their answers begin. The caller must hold g.mu.
func (g *Gateway) cancelBlocked(now time.Time) {
	for c, cancel := range g.unanswered {
		if _, blocked := g.crashes.Blocked(now, c.workspaceHash(), c.suspectParts); blocked {
			cancel()
			delete(g.unanswered, c)
		}
	}
}

// receiveCrashes applies what a peer has observed. The caller must hold g.mu.
func (g *Gateway) receiveCrashes(now time.Time, m *peers.Message) {
	if len(m.CrashSuspects) == 0 && len(m.RequestSuspects) == 0 && len(m.SoundParts) == 0 && len(m.WholeParts) == 0 &&
		len(m.Outlasting) == 0 && len(m.Blocks) == 0 {
		return
	}
	var sound crashcause.Sound
	for _, tracker := range []struct {
		*crashcause.Tracker
		suspects []peers.CrashSuspect
	}{{g.crashes, m.CrashSuspects}, {g.requestCrashes, m.RequestSuspects}} {
		tracker.RecordBegun(now, m.SoundParts)
		tracker.RecordWhole(now, m.WholeParts)
		for i := range tracker.suspects {
			_, known := tracker.Add(now, decodeSuspect(&tracker.suspects[i]))
			sound.Begun, sound.Whole = append(sound.Begun, known.Begun...), append(sound.Whole, known.Whole...)
		}
	}
	for _, o := range m.Outlasting {
		g.crashes.RecordOutlasting(o.Part, o.Server)
	}
	g.tellSound(now, sound)
	if g.crashes.Merge(now, decodeBlocks(now, m.Blocks)) {
		g.blocks.changed(now)
		g.cancelBlocked(now)
	}
	g.evaluateCrashes(now)
}

// tellSound tells the peers which parts of suspects are sound, unless it has lately done so.
// The caller must hold g.mu.
func (g *Gateway) tellSound(now time.Time, sound crashcause.Sound) {
	maps.DeleteFunc(g.soundTold, func(_ soundPart, at time.Time) bool { return now.Sub(at) >= soundTellInterval })
	due := func(parts []uint64, whole bool) (untold []uint64) {
		for _, p := range parts {
			if _, told := g.soundTold[soundPart{p, whole}]; !told {
				g.soundTold[soundPart{p, whole}] = now
				untold = append(untold, p)
			}
		}
		return untold
	}
	begun, whole := due(sound.Begun, false), due(sound.Whole, true)
	if len(begun)+len(whole) > 0 {
		g.hub.Broadcast(func(_ fleet.Peer, m *peers.Message) {
			m.SoundParts, m.WholeParts = append(m.SoundParts, begun...), append(m.WholeParts, whole...)
		})
	}
}

// soundPart is a part of prompts that an answer has shown to be sound, by its beginning or as a
// whole.
type soundPart struct {
	part  uint64
	whole bool
}

// findOutlasting records the running answers that outlast those of suspects. The caller must
// hold g.mu.
func (g *Gateway) findOutlasting(now time.Time) {
	contested := g.crashes.Contested(now)
	if len(contested) == 0 {
		return
	}
	var found []peers.OutlastingPart
	for _, a := range g.runningAnswers {
		for _, p := range a.parts {
			if limit, ok := contested[p]; ok && now.Sub(a.since) > limit && g.crashes.RecordOutlasting(p, a.server) {
				found = append(found, peers.OutlastingPart{Part: p, Server: a.server})
			}
		}
	}
	if len(found) > 0 {
		g.hub.Broadcast(func(_ fleet.Peer, m *peers.Message) { m.Outlasting = append(m.Outlasting, found...) })
	}
}

// runningAnswer is an answer of which a part has arrived.
type runningAnswer struct {
	parts  []uint64 // shared parts of the prompt
	server string   // see processKey
	since  time.Time
}

// beginBody records that the first part of the body of an answer has arrived.
func (c *clientRequest) beginBody(t *target, entry *attemptLog) {
	entry.bodyAt = time.Now()
	shared, _ := c.splitSuspectParts()
	if len(shared) == 0 {
		return
	}
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	c.g.runningAnswers[entry] = runningAnswer{shared, processKey(t.server), entry.bodyAt}
}

// endBody removes an answer that beginBody has recorded.
func (g *Gateway) endBody(entry *attemptLog) {
	if entry.bodyAt.IsZero() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.runningAnswers, entry)
}

// addCrashes adds the evidence and the blocks to the initial state for a peer. The caller
// must hold g.mu.
func (g *Gateway) addCrashes(m *peers.Message) {
	for _, s := range g.crashes.Suspects() {
		m.CrashSuspects = append(m.CrashSuspects, suspectMessage(&s))
	}
	for _, s := range g.requestCrashes.Suspects() {
		m.RequestSuspects = append(m.RequestSuspects, suspectMessage(&s))
	}
	g.crashes.Outlasting(func(part uint64, server string) {
		m.Outlasting = append(m.Outlasting, peers.OutlastingPart{Part: part, Server: server})
	})
	now := time.Now()
	m.Blocks = blockMessages(now, g.crashes.Blocks(now))
}

func suspectMessage(s *crashcause.Suspect) peers.CrashSuspect {
	return peers.CrashSuspect{Server: s.Server, Begun: s.Phase == crashcause.Begun, Workspace: s.Workspace, Parts: s.Parts,
		Running: s.Phase == crashcause.Running, SentForMS: s.SentFor.Milliseconds(), AgeMS: s.Age.Milliseconds()}
}

func decodeSuspect(m *peers.CrashSuspect) crashcause.Suspect {
	s := crashcause.Suspect{Server: m.Server, Workspace: m.Workspace, Parts: m.Parts,
		SentFor: time.Duration(m.SentForMS) * time.Millisecond, Age: time.Duration(m.AgeMS) * time.Millisecond}
	switch {
	case m.Running:
		s.Phase = crashcause.Running
	case m.Begun:
		s.Phase = crashcause.Begun
	}
	return s
}

func blockMessages(now time.Time, blocks []crashcause.Block) []fleet.PromptBlock {
	var messages []fleet.PromptBlock
	for _, b := range blocks {
		messages = append(messages, fleet.PromptBlock{Parts: b.Parts, Workspaces: b.Workspaces, AnyPoint: b.AnyPoint, AgeMS: now.Sub(b.Since).Milliseconds()})
	}
	return messages
}

// decodeBlocks returns the blocks of a message or record that was received at now.
func decodeBlocks(now time.Time, messages []fleet.PromptBlock) []crashcause.Block {
	var blocks []crashcause.Block
	for _, m := range messages {
		blocks = append(blocks, crashcause.Block{Parts: m.Parts, Workspaces: m.Workspaces, AnyPoint: m.AnyPoint,
			Since: now.Add(-time.Duration(m.AgeMS) * time.Millisecond)})
	}
	return blocks
}
