// Package speed estimates how slow each backend server of a service is, compared with the
// median server, from the times of answers that all entries observe. It does no I/O and
// takes the time as an argument.
//
// It answers fleets in which some servers are slower than others in everything, for good
// or for some seconds. Where servers do not measure uneven, all of them count alike.
package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// unevenSpread and evenSpread are the standard deviations of the servers' speeds, in
	// octaves, above which servers begin and below which they cease to count as uneven. A
	// third of the servers at half of the speed of the others are .47 octaves.
	unevenSpread = 0.36
	evenSpread   = 0.25
	// certainErrors is the number of standard errors by which the variance must exceed that
	// of unevenSpread, in unevenEvaluations in a row, before servers count as uneven.
	certainErrors     = 2
	unevenEvaluations = 3
	// evenEvaluations is the number of evaluations in a row below evenSpread after which
	// servers cease to count as uneven: 2 s.
	evenEvaluations = 8
	// minSamples is the number of samples from which a server's speed is compared, and
	// minServers the number of such servers without which all count alike.
	minSamples = 6
	minServers = 2
	// minSampledShare is the share of a service's servers that must have minSamples.
	minSampledShare = 0.34
	// maxLevel bounds a slowness, in octaves from the median server.
	maxLevel = 3
	// levelTrust is the age of a server's last sample up to which its level counts in full,
	// and levelHalfLife the time after that in which it loses half of its effect: a server
	// that callers do without is tried several times a minute.
	levelTrust    = 4 * time.Second
	levelHalfLife = 8 * time.Second
	// evaluationInterval is how long an evaluation is used.
	evaluationInterval = 250 * time.Millisecond
	// burstOctaves is by how much a server's last burstSamples must exceed its usual times,
	// each within burstAge, for the server to count as slow at the moment: 1.6 times.
	burstOctaves = 0.68
	burstSamples = 2
	burstAge     = time.Second
	// burstNoise is the least burst in multiples of the noise of a kind of samples.
	burstNoise = 2
	// unknownNoise is the noise, in octaves, of a kind of which no server has
	// minNoiseSamples, and minNoise the least noise of a kind.
	unknownNoise    = 0.6
	minNoise        = 0.1
	minNoiseSamples = 3
)

// Estimator holds the samples of the servers of one service. It is not safe for
// concurrent use.
type Estimator struct {
	servers map[string]*server
	// uneven is set while the servers measure uneven; spread is the last measured standard
	// deviation of their speeds, in octaves.
	uneven bool
	spread float64
	// certain is set if the spread exceeds unevenSpread beyond doubt, and inARow counts the
	// evaluations since it was not.
	certain bool
	inARow  int
	// belowInARow counts the evaluations since the spread was not below evenSpread.
	belowInARow int
	// certainlyEven is set if the spread is below evenSpread beyond doubt, by enough
	// samples, and evenInARow counts the evaluations since it was not.
	certainlyEven bool
	evenInARow    int
	evaluatedAt   time.Time
	// added counts the samples of all servers.
	added int64
	// baselines holds the median over servers of the median observation, and noise the
	// mean deviation of a server's observations from its median, in octaves, by kind.
	baselines, noise map[uint8]float64
}

// NewEstimator returns an estimator without samples.
func NewEstimator() *Estimator {
	return &Estimator{servers: make(map[string]*server), baselines: make(map[uint8]float64), noise: make(map[uint8]float64)}
}

// Uneven reports whether the servers measure uneven, and the standard deviation of their
// speeds in octaves.
func (e *Estimator) Uneven(now time.Time) (uneven bool, spread float64) {
	e.evaluate(now)
	return e.uneven, e.spread
}

// Slowness returns the time that a server takes relative to the median server: 1 for a
// server without samples and for all servers that do not measure uneven.
func (e *Estimator) Slowness(now time.Time, id string) float64 {
	e.evaluate(now)
	s := e.servers[id]
	if !e.uneven || s == nil {
		return 1
	}
	return math.Exp2(min(s.level*e.confidence(now, s)+e.burst(now, s), maxLevel))
}

// confidence returns the share of a server's level that still counts. It falls with the time
// since the last sample, so that a server that gets no requests because it was slow is tried
// again. Where all servers get few requests, it does not fall.
func (e *Estimator) confidence(now time.Time, s *server) float64 {
	if len(s.samples) == 0 {
		return 0
	}
	if e.added-s.addedAt < int64(minSamples*len(e.servers)) {
		return 1
	}
	shown := s.samples[len(s.samples)-1].at
	if s.busyAt.After(shown) {
		shown = s.busyAt
	}
	age := now.Sub(shown) - levelTrust
	if age <= 0 {
		return 1
	}
	return math.Exp2(-age.Seconds() / levelHalfLife.Seconds())
}

// Typical returns the time that the median server takes for observations of a kind, in
// the unit of the observations; 0 before there are any.
func (e *Estimator) Typical(now time.Time, kind uint8) float64 {
	e.evaluate(now)
	baseline, known := e.baselines[kind]
	if !known {
		return 0
	}
	return math.Exp2(baseline)
}

// burst returns by how many octaves a server's last samples exceed its usual times, 0 if
// they do not.
func (e *Estimator) burst(now time.Time, s *server) float64 {
	if len(s.recent) < burstSamples {
		return 0
	}
	least, bound := math.Inf(1), burstOctaves
	for _, x := range s.recent {
		baseline, known := e.baselines[x.kind]
		if !known || now.Sub(x.at) > burstAge {
			return 0
		}
		least = min(least, x.octaves-baseline-s.level)
		bound = max(bound, burstNoise*e.noise[x.kind])
	}
	if least < bound {
		return 0
	}
	return least
}

// evaluate compares the servers, at most once in evaluationInterval.
func (e *Estimator) evaluate(now time.Time) {
	if now.Sub(e.evaluatedAt) < evaluationInterval && !now.Before(e.evaluatedAt) {
		return
	}
	e.evaluatedAt = now
	for _, s := range e.servers {
		s.expire(now)
	}
	if e.uneven && !e.comparable() && e.hasSamples() {
		return
	}
	e.updateBaselines()
	e.updateLevels()
	if e.certain {
		e.inARow++
	} else {
		e.inARow = 0
	}
	if e.spread < evenSpread {
		e.belowInARow++
	} else {
		e.belowInARow = 0
	}
	if e.certainlyEven {
		e.evenInARow++
	} else {
		e.evenInARow = 0
	}
	switch {
	case e.inARow >= unevenEvaluations:
		e.uneven = true
	case e.uneven && e.belowInARow >= evenEvaluations:
		e.uneven = false
		e.reportAll()
	}
}

// settled reports whether the servers have measured even, beyond doubt, for some time.
func (e *Estimator) settled() bool { return !e.uneven && e.evenInARow >= unevenEvaluations }

// comparable reports whether enough servers have samples to be compared. Without them, as
// after many servers have started again, the others keep the speeds that they had.
func (e *Estimator) comparable() bool {
	sampled := 0
	for _, s := range e.servers {
		if len(s.samples) >= minSamples {
			sampled++
		}
	}
	return sampled >= minServers && float64(sampled) >= minSampledShare*float64(len(e.servers))
}

// hasSamples reports whether any server has samples.
func (e *Estimator) hasSamples() bool {
	for _, s := range e.servers {
		if len(s.samples) > 0 {
			return true
		}
	}
	return false
}

// updateBaselines sets the median over servers of their median observation, and the noise,
// by kind.
func (e *Estimator) updateBaselines() {
	medians := make(map[uint8][]float64)
	deviations := make(map[uint8][]float64)
	for _, s := range e.servers {
		byKind := make(map[uint8][]float64)
		for _, x := range s.samples {
			byKind[x.kind] = append(byKind[x.kind], x.octaves)
		}
		for kind, observed := range byKind {
			middle := median(observed)
			medians[kind] = append(medians[kind], middle)
			if len(observed) < minNoiseSamples {
				continue
			}
			for _, octaves := range observed {
				deviations[kind] = append(deviations[kind], math.Abs(octaves-middle))
			}
		}
	}
	clear(e.baselines)
	clear(e.noise)
	for kind, of := range medians {
		e.baselines[kind] = median(of)
		e.noise[kind] = unknownNoise
		if d := deviations[kind]; len(d) > 0 {
			e.noise[kind] = max(mean(d), minNoise)
		}
	}
}

// updateLevels sets the level of each server and the spread of the levels. What the earlier
// and the later half of the servers' samples have in common is their speed; noise and
// moments of slowness are not. A level is shrunk towards the median server by the share of
// its variance that is noise.
func (e *Estimator) updateLevels() {
	var sampled []*server
	var levels, earlier, later []float64
	perHalf := 0.0
	for _, s := range e.servers {
		s.level = 0
		if len(s.samples) < minSamples {
			continue
		}
		residuals := make([]weighted, len(s.samples))
		for i, x := range s.samples {
			noise := e.noise[x.kind]
			residuals[i] = weighted{min(max(x.octaves-e.baselines[x.kind], -maxLevel), maxLevel), 1 / (noise * noise)}
		}
		half := len(residuals) / 2
		earlier, later = append(earlier, weightedMedian(residuals[:half])), append(later, weightedMedian(residuals[half:]))
		sampled, levels = append(sampled, s), append(levels, weightedMedian(residuals))
		perHalf += float64(half)
	}
	e.spread, e.certain, e.certainlyEven = 0, false, false
	if !e.comparable() {
		return
	}
	n := float64(len(sampled))
	between := max(covariance(earlier, later), 0)
	noise := math.Sqrt(max(covariance(earlier, earlier)-between, 0) * max(covariance(later, later)-between, 0))
	e.spread = math.Sqrt(between)
	doubt := certainErrors * noise / math.Sqrt(n)
	e.certain = between-doubt > unevenSpread*unevenSpread
	e.certainlyEven = between+doubt < evenSpread*evenSpread && perHalf >= n*fewSamples
	centre, perSample := median(slices.Clone(levels)), noise*perHalf/n
	for i, s := range sampled {
		share := 0.0
		if between > 0 {
			share = between / (between + perSample/float64(len(s.samples)))
		}
		s.level = min(max(share*(levels[i]-centre), -maxLevel), maxLevel)
	}
}

func median(values []float64) float64 {
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}

func mean(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total / float64(len(values))
}

// weighted is a value and its weight, above 0.
type weighted struct{ value, weight float64 }

// weightedMedian returns the value at which half of the weight is reached, between two
// values if it is reached exactly there.
func weightedMedian(values []weighted) float64 {
	sorted := slices.SortedFunc(slices.Values(values), func(a, b weighted) int { return cmp.Compare(a.value, b.value) })
	total := 0.0
	for _, v := range sorted {
		total += v.weight
	}
	const tolerance = 1e-9
	reached := 0.0
	for i, v := range sorted {
		reached += v.weight
		switch {
		case reached > total/2*(1+tolerance):
			return v.value
		case reached > total/2*(1-tolerance) && i+1 < len(sorted):
			return (v.value + sorted[i+1].value) / 2
		}
	}
	return sorted[len(sorted)-1].value
}

func covariance(a, b []float64) float64 {
	n := float64(len(a))
	meanA, meanB, total := 0.0, 0.0, 0.0
	for i := range a {
		meanA, meanB = meanA+a[i]/n, meanB+b[i]/n
	}
	for i := range a {
		total += (a[i] - meanA) * (b[i] - meanB)
	}
	return total / n
}
