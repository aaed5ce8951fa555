package cascade

import (
	"container/list"
	"math"
	"time"
)

const (
	// ratingMemory is the number of ratings over which an old rating decays to 1/e
	// of its weight.
	ratingMemory = 1000
	// halfLife is the time in which the ratings of a version lose half their
	// weight.
	halfLife = 6 * time.Hour
	// inheritedRatings is the number of ratings that the estimate of a new version
	// takes over from the previous version.
	inheritedRatings = 20
	// sharedRatings is the number of ratings up to which the estimate over all
	// workspaces supplements that of one workspace.
	sharedRatings = 400
	// inferredRatings is the number of ratings up to which results of escalations
	// supplement the estimate of a stage. This assumes that a costlier stage passes
	// the tasks that a cheaper stage passes.
	inferredRatings = 150
	// minOwnRatings is the number of ratings of a workspace from which its own
	// estimate can be considered different from that over all workspaces.
	minOwnRatings = 30
	// disagreementSigmas is the difference, in standard deviations, at which a
	// workspace's own estimate and that over all workspaces are considered
	// different.
	disagreementSigmas = 3
	// maxVersions bounds the number of estimates in one classState.
	maxVersions = 24
	// maxClassNameBytes bounds the name of a task class, which is set by callers.
	maxClassNameBytes = 64
)

// beta holds the counts of passed and failed ratings.
type beta struct{ pass, fail float64 }

func (b beta) n() float64 { return b.pass + b.fail }

// mean returns the expected pass probability under a uniform prior.
func (b beta) mean() float64 { return (b.pass + 1) / (b.n() + 2) }

func (b beta) scale(f float64) beta { return beta{b.pass * f, b.fail * f} }

func (b beta) capped(n float64) beta {
	if b.n() <= n {
		return b
	}
	return b.scale(max(0, n) / b.n())
}

// withPrior adds a prior whose weight falls to zero as b's own ratings reach
// weight.
func (b beta) withPrior(prior beta, weight float64) beta {
	prior = prior.capped(weight - b.n())
	return beta{b.pass + prior.pass, b.fail + prior.fail}
}

func (b beta) variance() float64 { return b.mean() * (1 - b.mean()) / (b.n() + 3) }

// poolEstimates supplements the estimate of one workspace with that over all
// workspaces, up to sharedRatings ratings in total. If the two differ by more than
// disagreementSigmas, it returns the workspace's own estimate unchanged.
func poolEstimates(local, shared beta) beta {
	others := shared.capped(sharedRatings - local.n())
	if others.n() == 0 {
		return local
	}
	gap := math.Abs(local.mean() - shared.mean())
	if local.n() >= minOwnRatings && gap > disagreementSigmas*math.Sqrt(local.variance()+shared.variance()) {
		return local
	}
	return beta{local.pass + others.pass, local.fail + others.fail}
}

// directFromEscalations estimates the pass probability of requests that start at a
// stage from the results of escalations to it. It assumes that the stage passes what
// the previous stage passes (before), and of the other requests the share that
// passes after an escalation (after).
func directFromEscalations(before, after beta) beta {
	m := before.mean() + (1-before.mean())*after.mean()
	spread := (1-after.mean())*(1-after.mean())*before.variance() +
		(1-before.mean())*(1-before.mean())*after.variance()
	n := max(0, m*(1-m)/spread-3)
	if before.n() == 0 || after.n() == 0 {
		return beta{}
	}
	return beta{m * n, (1 - m) * n}
}

type versionKey struct{ model, version string }

// estimate holds the decayed ratings of one version.
type estimate struct {
	// direct counts the ratings of requests that started at the version's stage, and
	// after those of requests that were escalated to it.
	direct, after             beta
	directWeight, afterWeight float64       // ratings of this version alone, without inherited ones
	updatedAt                 time.Duration // time up to which the counts have decayed
}

// aged returns the estimate with its ratings decayed to now.
func (e *estimate) aged(now time.Duration) estimate {
	out := *e
	if now <= e.updatedAt {
		return out
	}
	f := math.Exp2(-float64(now-e.updatedAt) / float64(halfLife))
	out.direct, out.after = e.direct.scale(f), e.after.scale(f)
	out.directWeight, out.afterWeight = e.directWeight*f, e.afterWeight*f
	out.updatedAt = now
	return out
}

func (e *estimate) observe(now time.Duration, escalated, passed bool) {
	*e = e.aged(now)
	b, seen := &e.direct, &e.directWeight
	if escalated {
		b, seen = &e.after, &e.afterWeight
	}
	*b = b.scale(1 - 1.0/ratingMemory)
	*seen = *seen*(1-1.0/ratingMemory) + 1
	if passed {
		b.pass++
	} else {
		b.fail++
	}
}

type classKey struct{ workspace, class string }

// classState holds the estimates of one workspace and task class. The empty
// workspace stands for all workspaces.
type classState struct {
	key      classKey
	versions map[versionKey]*estimate
	latest   map[string]string // model to its most recently seen version
	// credit is the accumulated excess of the plans' expected quality over the
	// target, less what plans below the target have used.
	credit float64
}

// version returns the estimate of a version. A new version starts with a few
// ratings of the previous one.
func (c *classState) version(now time.Duration, k versionKey) *estimate {
	e := c.versions[k]
	if e != nil {
		return e
	}
	e = &estimate{updatedAt: now}
	if old := c.versions[versionKey{k.model, c.latest[k.model]}]; old != nil {
		e.direct, e.after = old.direct.capped(inheritedRatings), old.after.capped(inheritedRatings)
	}
	if len(c.versions) >= maxVersions {
		c.evict()
	}
	c.versions[k] = e
	c.latest[k.model] = k.version
	return e
}

func (c *classState) evict() {
	var oldest versionKey
	found := false
	for k, e := range c.versions {
		if !found || e.updatedAt < c.versions[oldest].updatedAt || e.updatedAt == c.versions[oldest].updatedAt && k.less(oldest) {
			oldest, found = k, true
		}
	}
	delete(c.versions, oldest)
	if c.latest[oldest.model] == oldest.version {
		delete(c.latest, oldest.model)
	}
}

func (k versionKey) less(o versionKey) bool {
	return k.model < o.model || k.model == o.model && k.version < o.version
}

// classCache is an LRU cache of class states.
type classCache struct {
	limit  int
	states map[classKey]*list.Element
	lru    *list.List // of *classState, least recently used first
}

func newClassCache(limit int) *classCache {
	return &classCache{limit: limit, states: map[classKey]*list.Element{}, lru: list.New()}
}

func (m *classCache) get(k classKey) *classState {
	if len(k.class) > maxClassNameBytes {
		k.class = k.class[:maxClassNameBytes]
	}
	if el := m.states[k]; el != nil {
		m.lru.MoveToBack(el)
		return el.Value.(*classState)
	}
	if len(m.states) >= m.limit {
		oldest := m.lru.Front()
		delete(m.states, m.lru.Remove(oldest).(*classState).key)
	}
	c := &classState{key: k, versions: map[versionKey]*estimate{}, latest: map[string]string{}}
	m.states[k] = m.lru.PushBack(c)
	return c
}
