package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// maxServerSamples is the number of samples that are kept of a server, maxPeerSamples
	// the number of them that one peer may contribute.
	maxServerSamples = 24
	maxPeerSamples   = 4
	// maxReportSamples is the number of samples that a report holds. The last of this
	// entry's own samples are kept for new peers.
	maxReportSamples = 4
	// sampleSpacing is the least time between two samples of a server's usual speed, once
	// there are fewSamples: those of one short disturbance count as few.
	sampleSpacing = 500 * time.Millisecond
	// momentSpacing is the same for samples that are far above a server's level while servers
	// measure uneven: moments of slowness are not its usual speed.
	momentSpacing = 2 * time.Second
	// sampleRetention is how long a sample counts.
	sampleRetention = 2 * time.Minute
	// sampleSteps is the number of steps of an octave in reports.
	sampleSteps = 8
	// minOctaves and maxOctaves bound an observation: from 2^-4 to 2^24.
	minOctaves, maxOctaves = -4, 24
	// surprise is the deviation from a server's usual times, in octaves, from which a
	// sample is reported at once while the servers are uneven.
	surprise = 0.6
	// surpriseSpacing is the least time between two such reports of a server.
	surpriseSpacing = 250 * time.Millisecond
	// fewSamples is the number of samples below which each new one is reported at once.
	fewSamples = 8
	// evenReportInterval is the least time between two reports of a server while the servers
	// have settled as even: each entry renews its samples before they end.
	evenReportInterval = sampleRetention / 2
	// maxReporters bounds the peers whose reports of one server are told apart.
	maxReporters = 1000
)

// Report holds samples that one entry has observed of a server.
type Report struct {
	// Last is the number of the last sample. The numbers of an entry's samples of a server
	// are consecutive and begin at the time of the first one, in hundredths of a second, so
	// that they rise across restarts of the entry.
	Last int64
	// Kinds and Steps describe the samples: their kind, and the base-2 logarithm of the
	// observed time in steps of 1/8.
	Kinds []uint8
	Steps []int16
}

// sample is one observation.
type sample struct {
	kind    uint8
	octaves float64 // base-2 logarithm of the observed time
	at      time.Time
	peer    string // empty for this entry's own
}

// server holds the samples of one server, oldest first.
type server struct {
	samples []sample
	// recent holds the last samples, for its speed at the moment.
	recent []sample
	// level is the slowness in octaves from the median server.
	level float64
	// own holds this entry's last samples; last is the number of the newest one, and
	// reported that of the newest one that has been reported.
	own            []sample
	last, reported int64
	reportedAt     time.Time
	// returned is set when the servers cease to measure uneven, until the next report.
	returned bool
	// addedAt is the number of the last sample in samples among those of all servers.
	addedAt int64
	// busyAt is when the server was last seen with so much work that no times show its speed.
	busyAt time.Time
	// received holds the number of the last sample by peer.
	received map[string]int64
}

func (e *Estimator) server(id string) *server {
	s := e.servers[id]
	if s == nil {
		s = &server{received: make(map[string]int64)}
		e.servers[id] = s
	}
	return s
}

// Observe adds an observation of this entry, in a unit that all entries use for the kind.
// It reports whether the peers should be told now.
func (e *Estimator) Observe(now time.Time, id string, kind uint8, observed float64) (report bool) {
	octaves := math.Log2(observed)
	if math.IsNaN(octaves) || math.IsInf(octaves, 0) {
		return false
	}
	e.evaluate(now)
	s := e.server(id)
	if s.last == 0 {
		s.last = now.UnixMilli() / 10
		s.reported, s.reportedAt = s.last, now
	}
	x := sample{kind: kind, octaves: min(max(octaves, minOctaves), maxOctaves), at: now}
	baseline, known := e.baselines[kind]
	surprising := e.uneven && known && now.Sub(s.reportedAt) >= surpriseSpacing &&
		math.Abs(x.octaves-baseline-s.level) > max(surprise, e.noise[kind])
	if few := len(s.samples) < fewSamples; e.add(s, x) || surprising {
		s.own = keepLast(append(s.own, x), maxReportSamples)
		s.last++
		due := s.last-s.reported >= maxReportSamples
		if e.settled() && !s.returned {
			return due && (now.Sub(s.reportedAt) >= evenReportInterval || e.differs(s))
		}
		return few || surprising || due || s.returned
	}
	return false
}

// differs reports whether this entry's last samples of a server, as a whole, differ from
// those of the median server, so that they would count once the servers measure uneven.
func (e *Estimator) differs(s *server) bool {
	residuals := make([]float64, len(s.own))
	for i, x := range s.own {
		baseline, known := e.baselines[x.kind]
		if !known {
			return false
		}
		residuals[i] = x.octaves - baseline
	}
	return math.Abs(median(residuals)) > surprise
}

// reportAll lets the next sample of each server be reported at once, so that peers do not
// go on with speeds that have ended.
func (e *Estimator) reportAll() {
	for _, s := range e.servers {
		s.returned = true
	}
}

// Busy records that a server has so much work that no times show its speed.
func (e *Estimator) Busy(now time.Time, id string) {
	if s := e.servers[id]; s != nil {
		s.busyAt = now
	}
}

// Unreported returns the samples of a server that have not been reported yet, at most the
// last maxReportSamples.
func (e *Estimator) Unreported(now time.Time, id string) (Report, bool) {
	s := e.servers[id]
	if s == nil || s.last == s.reported {
		return Report{}, false
	}
	n := min(int(s.last-s.reported), len(s.own))
	s.reported, s.reportedAt, s.returned = s.last, now, false
	return report(s.last, s.own[len(s.own)-n:]), true
}

// ForEach calls f with this entry's last samples of each server, for a new peer.
func (e *Estimator) ForEach(f func(id string, r Report)) {
	for id, s := range e.servers {
		if len(s.own) > 0 {
			f(id, report(s.last, s.own))
		}
	}
}

func report(last int64, samples []sample) Report {
	r := Report{Last: last}
	for _, x := range samples {
		r.Kinds = append(r.Kinds, x.kind)
		r.Steps = append(r.Steps, int16(math.Round(x.octaves*sampleSteps)))
	}
	return r
}

// Receive adds the samples of a peer's report that have not been received before. It
// reports false if the report is malformed.
func (e *Estimator) Receive(now time.Time, peer, id string, r Report) bool {
	n := len(r.Steps)
	if n != len(r.Kinds) || n > maxReportSamples || r.Last < int64(n) {
		return false
	}
	s := e.server(id)
	known, heard := s.received[peer]
	if !heard && len(s.received) >= maxReporters {
		return true
	}
	for i := range n {
		if r.Last-int64(n-1-i) > known {
			octaves := float64(r.Steps[i]) / sampleSteps
			e.add(s, sample{kind: r.Kinds[i], octaves: min(max(octaves, minOctaves), maxOctaves), at: now, peer: peer})
		}
	}
	s.received[peer] = max(known, r.Last)
	return true
}

// add adds a sample, to the usual ones only after sampleSpacing or momentSpacing, and reports
// whether it did so. It takes the place of the peer's oldest one if the peer has
// contributed maxPeerSamples, else of the oldest of all if there are too many.
func (e *Estimator) add(s *server, x sample) bool {
	s.recent = keepLast(append(s.recent, x), burstSamples)
	spacing := sampleSpacing
	if baseline, known := e.baselines[x.kind]; e.uneven && known && x.octaves-baseline-s.level > max(surprise, e.noise[x.kind]) {
		spacing = momentSpacing
	}
	if n := len(s.samples); n >= fewSamples && x.at.Sub(s.samples[n-1].at) < spacing {
		return false
	}
	if x.peer != "" {
		first, count := 0, 0
		for i := len(s.samples) - 1; i >= 0; i-- {
			if s.samples[i].peer == x.peer {
				first, count = i, count+1
			}
		}
		if count >= maxPeerSamples {
			s.samples = slices.Delete(s.samples, first, first+1)
		}
	}
	s.samples = keepLast(append(s.samples, x), maxServerSamples)
	e.added++
	s.addedAt = e.added
	return true
}

// expire drops the samples that are older than sampleRetention.
func (s *server) expire(now time.Time) {
	s.samples = slices.DeleteFunc(s.samples, func(x sample) bool { return now.Sub(x.at) > sampleRetention })
	if len(s.samples) == 0 {
		s.level = 0
	}
}

func keepLast[T any](list []T, n int) []T {
	if len(list) > n {
		return slices.Delete(list, 0, len(list)-n)
	}
	return list
}

// Retain drops the servers for which keep returns false, and the numbers of the samples of
// peers that are not live.
func (e *Estimator) Retain(keep func(id string) bool, live func(peer string) bool) {
	for id, s := range e.servers {
		if !keep(id) {
			delete(e.servers, id)
			continue
		}
		for peer := range s.received {
			if !live(peer) {
				delete(s.received, peer)
			}
		}
	}
}

// Forget drops the samples of a server that has started again.
func (e *Estimator) Forget(id string) { delete(e.servers, id) }
