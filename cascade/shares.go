package cascade

import (
	"time"

	"hyssoploom/fairshare"
)

const (
	// freeBacklog and maxBacklog are the mean backlog of the engines, as fractions of the
	// tightest latency target of their callers, up to which all answers may be replaced and
	// at which none is: what a larger model reads delays the answers of all callers.
	freeBacklog, maxBacklog = 0.3, 0.6
	// freeWait and maxWait are the same for the wait at the engine with the least. With few
	// engines, it is as long as the backlog.
	freeWait, maxWait = 0.05, 0.2
	// lateConfidence is the confidence below which an answer is replaced even if that of the
	// larger model starts late: a late answer is worth more to its caller than one that is
	// most likely wrong.
	lateConfidence = 20
	// confidenceLevels is the number of values of a confidence in percent.
	confidenceLevels = 101
	// histogramMemory is the number of answers over which a histogram of confidences
	// forgets.
	histogramMemory = 400
	// minHistogram is the number of answers of a class from which its own histogram is used
	// instead of that of all classes.
	minHistogram = 40
)

// Class identifies requests that are served alike: those of one kind and size class.
type Class uint64

// Offer is an answer of a small model that has not been sent to the caller yet, and what
// replacing it would take.
type Offer struct {
	EscalationInput
	Class     Class
	Workspace uint64 // hash of its name
	// Work is the expected time that the larger model takes from its engine.
	Work time.Duration
	// LeastWait is the shortest backlog of an engine.
	LeastWait time.Duration
	// TightestTarget is the lowest latency target of the requests that share the engines.
	TightestTarget time.Duration
}

// Shares decides which answers of small models are replaced while the larger model has not
// enough room for all that would gain by it: the load is a burst of requests, or a part of
// the engines that are gone. The room is what keeps the backlog of the engines low. Each
// class and each workspace keeps its usual share of it, so that neither the requests with
// the longest prompts nor the callers beside a burst pay for it; within a class the least
// confident answers go first.
type Shares struct {
	classes    *fairshare.Table
	workspaces *fairshare.Table
	// unreported is the demand of this process that other entries have not been told.
	unreported map[Key]time.Duration
	confidence map[Class]*histogram
	all        histogram
}

// NewShares returns shares without history.
func NewShares() *Shares {
	return &Shares{classes: fairshare.NewTable(), workspaces: fairshare.NewTable(),
		unreported: make(map[Key]time.Duration), confidence: make(map[Class]*histogram)}
}

// Key identifies a class or a workspace. The lowest bit tells which.
type Key uint64

func (c Class) key() Key           { return Key(c << 1) }
func workspaceKey(hash uint64) Key { return Key(hash<<1 | 1) }

// AddDemand counts work that was asked of the larger model, also at other entries.
func (s *Shares) AddDemand(now time.Time, key Key, work time.Duration) {
	if key&1 == 0 {
		s.classes.Add(now, uint64(key), work)
	} else {
		s.workspaces.Add(now, uint64(key), work)
	}
}

// TakeUnreported returns the demand of this process since the last call.
func (s *Shares) TakeUnreported() map[Key]time.Duration {
	taken := s.unreported
	s.unreported = make(map[Key]time.Duration)
	return taken
}

// Verdict is a decision of Shares.Decide with its inputs.
type Verdict struct {
	Escalate bool
	// Wanted means that the answer would be replaced if there were room for all.
	Wanted bool
	// Room is the fraction of all wanted replacements that the engines have room for, and
	// Granted the fraction for the class and the workspace of the offer.
	Room, Granted float64
}

// Decide reports whether the larger model should be asked. draw is uniform in [0, 1) and
// decides between answers of equal confidence.
func (s *Shares) Decide(now time.Time, o Offer, draw float64) Verdict {
	confidence := min(max(o.Confidence, 0), confidenceLevels-1)
	h := s.histogram(o.Class)
	h.add(confidence)
	s.all.add(confidence)
	if confidence >= minConfidence || !completesInTime(&o.EscalationInput) ||
		confidence >= lateConfidence && !startsInTime(&o.EscalationInput) {
		return Verdict{}
	}
	for _, key := range []Key{o.Class.key(), workspaceKey(o.Workspace)} {
		s.AddDemand(now, key, o.Work)
		s.unreported[key] += o.Work
	}
	v := Verdict{Wanted: true, Room: roomFraction(&o)}
	v.Granted = min(s.classes.Fraction(now, uint64(o.Class.key()), v.Room),
		s.workspaces.Fraction(now, uint64(workspaceKey(o.Workspace)), v.Room))
	if h.total < minHistogram {
		h = &s.all
	}
	v.Escalate = draw < h.chance(confidence, v.Granted)
	return v
}

// roomFraction returns the fraction of the wanted replacements for which the engines have
// room.
func roomFraction(o *Offer) float64 {
	if o.TightestTarget <= 0 {
		return 1
	}
	target := o.TightestTarget.Seconds()
	return min(falling(o.Backlog.Seconds()/target, freeBacklog, maxBacklog), falling(o.LeastWait.Seconds()/target, freeWait, maxWait))
}

// falling falls from 1 at low to 0 at high.
func falling(x, low, high float64) float64 { return min(max((high-x)/(high-low), 0), 1) }

// startsInTime reports whether the answer of the larger model would start within its target.
func startsInTime(d *EscalationInput) bool {
	return d.Elapsed+d.Pending+d.Prefill <= d.StartWithin
}

// completesInTime reports whether the answer of the larger model would be complete by the
// deadline.
func completesInTime(d *EscalationInput) bool {
	return float64(d.Elapsed+d.Pending+d.Prefill+d.Decode) <= deadlineShare*float64(d.CompleteWithin)
}

// maxClasses bounds the histograms that are kept. Classes beyond it use that of all.
const maxClasses = 256

func (s *Shares) histogram(c Class) *histogram {
	h := s.confidence[c]
	if h == nil {
		h = &histogram{}
		if len(s.confidence) < maxClasses {
			s.confidence[c] = h
		}
	}
	return h
}

// histogram counts the answers of small models by confidence.
type histogram struct {
	counts [confidenceLevels]float64
	total  float64
}

func (h *histogram) add(confidence int) {
	if h.total >= histogramMemory {
		for i := range h.counts {
			h.counts[i] /= 2
		}
		h.total /= 2
	}
	h.counts[confidence]++
	h.total++
}

// chance returns the probability with which an answer is replaced so that the given fraction
// of all answers below minConfidence are, the least confident first.
func (h *histogram) chance(confidence int, fraction float64) float64 {
	below, wanted := 0.0, 0.0
	for i, n := range h.counts[:minConfidence] {
		wanted += n
		if i < confidence {
			below += n
		}
	}
	at := h.counts[confidence]
	if at == 0 {
		at = 1
	}
	return min(max((fraction*wanted-below)/at, 0), 1)
}
