// Package hostload decides what an entry does while the processor or the link of its own VM
// is the bottleneck: which work it leaves out, when its clients are sent to the other entries
// of its data centre, and when it takes them again. It does no I/O and takes measurements and
// time as arguments.
package hostload

import (
	"slices"
	"time"
)

// Level tells how short a VM is of processor time or bandwidth.
type Level int

const (
	// Calm changes nothing.
	Calm Level = iota
	// Busy leaves out what no caller waits for.
	Busy
	// Short also sends clients to neighbours.
	Short
)

// String returns the name of the level in logs and metrics.
func (l Level) String() string { return [...]string{"calm", "busy", "short"}[l] }

const (
	// window is the number of samples that decide together. A single one says little: the
	// process may have been suspended.
	window = 5
	// requestSteps is the number of times that a request waits for the processor until its
	// answer begins: for its head, its body, the connection to a server, the head of the
	// answer and its first event, and for the writes to both sides.
	requestSteps = 6
	// busyShare and shortShare are the shares of the tightest latency target which requests
	// may lose at the VM until it counts as busy or short.
	busyShare, shortShare = 0.25, 0.5
	// releaseShare is the share of these bounds below which the delay has to stay for
	// releaseTime until the level falls. It is longer than a VM can be away: the relief of
	// that time does not last.
	releaseShare = 0.5
	releaseTime  = awayTime + time.Second
	// maxUtilization bounds the utilization of a link in the estimate of the wait for it,
	// which has no bound at 1.
	maxUtilization = 0.95
	// defaultTarget stands for the tightest latency target where no route has one.
	defaultTarget = time.Second
)

// Traffic counts what passed a link in one direction, in bytes: their sum and the sum of the
// squares of the messages' sizes.
type Traffic struct{ Bytes, Squares float64 }

// Sample is what a process measured of its VM since the sample before.
type Sample struct {
	Interval time.Duration
	// Lateness is how late its timer was.
	Lateness time.Duration
	// Processor is the processor time used, as a share of what the VM has; 0 if unknown. It
	// is reported only: a processor in full use costs callers nothing until they wait for it.
	Processor      float64
	Received, Sent Traffic
}

// State is what a VM's measurements of the last window show.
type State struct {
	Level Level
	// Delay is the time that a request is expected to lose at the VM: for the processor, of
	// which Lateness is the median, and for the link, whose utilization is Link.
	Delay     time.Duration
	Lateness  time.Duration
	Processor float64
	Link      float64
	// OfLink means that the larger part of the delay is that of the link.
	OfLink bool
	// FewerReports means that the processor is short now, so that messages to peers are sent
	// in fewer batches. They are small: for a link they make no difference.
	FewerReports bool
}

// Monitor follows the load of one VM. It is not safe for concurrent use.
type Monitor struct {
	bandwidth float64 // bytes per second in each direction; 0 if unknown
	samples   []Sample
	state     State
	// aboveAt is when the delay last was too high for the level to fall.
	aboveAt time.Duration
	// levelSince is when the level last rose.
	levelSince time.Duration
	// short means that the delay has stayed above the release of Short since it last rose to
	// Short, at shortSince. It ends before the level does.
	short      bool
	shortSince time.Duration
	diversion  diversion
}

// NewMonitor returns a monitor of a VM whose link carries the given bytes per second in each
// direction, 0 if unknown.
func NewMonitor(bandwidth float64) *Monitor { return &Monitor{bandwidth: bandwidth} }

// State returns the state after the last sample.
func (m *Monitor) State() State { return m.state }

// Observe adds a sample and returns the state. target is the tightest latency target of the
// routes, 0 if there is none.
func (m *Monitor) Observe(now time.Duration, s Sample, target time.Duration) State {
	if target <= 0 {
		target = defaultTarget
	}
	m.samples = append(m.samples, s)
	if len(m.samples) > window {
		m.samples = slices.Delete(m.samples, 0, 1)
	}
	level := m.state.Level
	m.state = m.measure()
	m.state.Level = level
	if len(m.samples) < window {
		return m.state
	}
	bounds := [...]time.Duration{Busy: share(busyShare, target), Short: share(shortShare, target)}
	for level < Short && m.state.Delay >= bounds[level+1] {
		level++
		m.aboveAt, m.levelSince = now, now
	}
	switch {
	case m.state.Delay < share(releaseShare, bounds[Short]):
		m.short = false
	case !m.short && m.state.Delay >= bounds[Short]:
		m.short, m.shortSince = true, now
	}
	if level > Calm && m.state.Delay >= share(releaseShare, bounds[level]) {
		m.aboveAt = now
	}
	if level > Calm && now-m.aboveAt >= releaseTime {
		level--
		m.aboveAt = now
	}
	m.state.Level = level
	m.state.FewerReports = level > Calm && requestSteps*m.state.Lateness >= share(releaseShare, bounds[Busy])
	return m.state
}

func share(s float64, d time.Duration) time.Duration { return time.Duration(s * float64(d)) }

// measure returns the state of the window without its level.
func (m *Monitor) measure() (s State) {
	var span time.Duration
	var received, sent Traffic
	late := make([]time.Duration, len(m.samples))
	for i, p := range m.samples {
		late[i] = p.Lateness
		span += p.Interval
		received, sent = received.plus(p.Received), sent.plus(p.Sent)
		s.Processor += p.Processor / float64(len(m.samples))
	}
	slices.Sort(late)
	s.Lateness = late[len(late)/2]
	s.Delay = requestSteps * s.Lateness
	if m.bandwidth <= 0 || span <= 0 {
		return s
	}
	var wait time.Duration
	for _, t := range [...]Traffic{received, sent} {
		utilization, w := t.wait(m.bandwidth, span)
		s.Link, wait = max(s.Link, utilization), max(wait, w)
	}
	s.OfLink = wait > s.Delay
	s.Delay += wait
	return s
}

func (t Traffic) plus(u Traffic) Traffic { return Traffic{t.Bytes + u.Bytes, t.Squares + u.Squares} }

// wait returns the utilization of a link by the traffic of a time, and the expected wait of a
// message for it by the formula of Pollaczek and Khinchine.
func (t Traffic) wait(bandwidth float64, span time.Duration) (utilization float64, wait time.Duration) {
	if t.Bytes <= 0 {
		return 0, 0
	}
	utilization = t.Bytes / bandwidth / span.Seconds()
	u := min(utilization, maxUtilization)
	residual := t.Squares / t.Bytes / 2 / bandwidth
	return utilization, time.Duration(u / (1 - u) * residual * float64(time.Second))
}
