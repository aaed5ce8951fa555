package placing

import "time"

const (
	// readTimeMemory is the number of observations over which older ones lose their weight.
	readTimeMemory = 200
	// maxQueuedShare is the pending work at an engine, as a share of the request's own
	// expected reading, up to which the observed time is that of the reading.
	maxQueuedShare = 0.2
	// queueTolerance is the pending work that is always tolerated: the report of a peer may
	// be that old.
	queueTolerance = 5 * time.Millisecond
	// maxOutlier is the multiple of the expected time above which an observed time counts as
	// that multiple, and lateWeight the weight of a time above the expected one: such a
	// request has most likely waited for others.
	maxOutlier, lateWeight = 2, 0.5
	// maxObserved bounds one observation: no prompt takes longer to read.
	maxObserved = time.Minute
	// trustedCount is the number of observations from which outliers are told.
	trustedCount = 4
	// minRate and maxRate bound the learned rate relative to the assumed one.
	minRate, maxRate = 0.1, 10.0
	// priorWeight is the weight of the assumed rate against observations, and priorRead the
	// reading time in seconds at which it is placed.
	priorWeight, priorRead = 0.5, 0.2
)

// ReadSums are the sums of a linear regression of the observed time to the head of a
// response on the reading time that an assumed rate gives, both in seconds.
type ReadSums struct {
	N, X, Y, XX, XY float64
}

// ReadTime is what is known of the time in which engines read prompts with one model: a
// fixed part, and a part in proportion to the length, which takes up the engine. The
// proportion covers the speed of the engines and the steps of other requests between the
// parts of a prompt. The zero value knows only the assumed rate.
type ReadTime struct {
	sums ReadSums
}

// Sums returns the sums of the observations.
func (r *ReadTime) Sums() ReadSums { return r.sums }

// Adopt takes over the observations of another entry if it has made more of them. Sums that
// no observations can give are ignored.
func (r *ReadTime) Adopt(s ReadSums) {
	if s.N > r.sums.N && s.possible() {
		r.sums = s
	}
}

// possible reports whether observations of times from 0 to maxObserved can give the sums.
func (s *ReadSums) possible() bool {
	const tolerance = 1 + 1e-9
	limit := maxObserved.Seconds() * tolerance
	return s.N > 0 && s.N < readTimeMemory+1 && s.X >= 0 && s.Y >= 0 && s.XX >= 0 && s.XY >= 0 &&
		s.X <= limit*s.N && s.Y <= limit*s.N && s.XX <= limit*s.X && s.XY <= limit*min(s.X, s.Y) &&
		s.X*s.X <= s.N*s.XX*tolerance
}

// Rate returns the factor by which the part of the reading time that is in proportion to the
// length differs from the assumed one.
func (r *ReadTime) Rate() float64 {
	rate, _ := r.fit()
	return rate
}

// fit returns the regression line through the observations and the prior.
func (r *ReadTime) fit() (rate, fixed float64) {
	s := r.sums
	s.add(0, 0, priorWeight)
	s.add(priorRead, priorRead, priorWeight)
	meanX, meanY := s.X/s.N, s.Y/s.N
	rate = 1.0
	if variance := s.XX/s.N - meanX*meanX; variance > 0 {
		rate = (s.XY/s.N - meanX*meanY) / variance
	}
	rate = min(max(rate, minRate), maxRate)
	return rate, max(meanY-rate*meanX, 0)
}

func (s *ReadSums) add(x, y, weight float64) {
	s.N += weight
	s.X += weight * x
	s.Y += weight * y
	s.XX += weight * x * x
	s.XY += weight * x * y
}

// Observe adds the time until an engine answered a request. assumed is its reading time by
// the assumed rate, and pending the expected time of other reading before it.
func (r *ReadTime) Observe(assumed, pending, observed time.Duration) {
	rate, fixed := r.fit()
	expected := fixed + rate*assumed.Seconds()
	if observed <= 0 || assumed < 0 || pending > queueTolerance && pending.Seconds() > maxQueuedShare*rate*assumed.Seconds() {
		return
	}
	x := min(assumed, maxObserved).Seconds()
	y, weight := min(observed, maxObserved).Seconds(), 1.0
	if r.sums.N > trustedCount {
		y = min(y, maxOutlier*expected)
	}
	if y > expected {
		weight = lateWeight
	}
	if r.sums.N >= readTimeMemory {
		r.sums.scale(1 - 1/float64(readTimeMemory))
	}
	r.sums.add(x, y, weight)
}

func (s *ReadSums) scale(f float64) {
	s.N *= f
	s.X *= f
	s.Y *= f
	s.XX *= f
	s.XY *= f
}
