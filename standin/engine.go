package standin

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"hyssoploom/dialect"

	"github.com/gorilla/mux"
)

// EngineConfig describes an engine stand-in. Zero values select the defaults.
type EngineConfig struct {
	Loaded []dialect.ModelRef
	// TokenDelay is the time between two tokens.
	TokenDelay time.Duration
	// FirstTokenDelay is the time to the first token as a function of the number of
	// concurrent requests, this one included; no delay when nil.
	FirstTokenDelay func(concurrent int) time.Duration
	// Tokens is the length of an answer without max_tokens; by default 8 to 39,
	// as a function of the prompt.
	Tokens int
	// MaxConcurrent is the number of requests above which the engine answers
	// 503; unlimited when 0.
	MaxConcurrent int
	// Cold starts the engine cold.
	Cold bool
	// ColdLimit is the concurrency that a cold engine bears; 2 when 0.
	ColdLimit int
	// WarmAfter is the number of requests that a cold engine has to complete
	// without a collapse to become warm; 20 when 0.
	WarmAfter int
	// CollapseFactor multiplies all delays of a cold engine above its limit; 20 when 0.
	CollapseFactor int
	// CollapseDelay is added to each delay during a collapse, so that an engine
	// without delays collapses as well; 20 ms when 0.
	CollapseDelay time.Duration
	// Resumes tells that the engine continues streams that began elsewhere.
	Resumes bool
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
}

// EngineFaults are the fault switches of an engine stand-in.
type EngineFaults struct {
	// TruncateAfter ends each answer without an end mark after so many tokens.
	TruncateAfter int `json:"truncate_after"`
	// Hang accepts requests and sends nothing until the caller gives up.
	Hang bool `json:"hang"`
	// HangAfter sends so many tokens and then nothing.
	HangAfter int `json:"hang_after"`
	// Refuse closes each connection before its request runs. A TCP refusal needs
	// LoopbackServer.Refuse.
	Refuse bool `json:"refuse"`
	// Bad lists versions ("model@version") that put the word BAD into their text.
	Bad []string `json:"bad"`
}

// EngineRun records one request that an engine stand-in ran.
type EngineRun struct {
	RequestID string    `json:"request_id"`
	Model     string    `json:"model"`
	Version   string    `json:"version"`
	Priority  int       `json:"priority"`
	From      int       `json:"from"`   // first token generated here
	Tokens    int       `json:"tokens"` // tokens generated here so far
	Start     time.Time `json:"start"`
	End       time.Time `json:"end"` // zero while it runs
	Cut       bool      `json:"cut"` // ended before its last token
}

// Engine is a stand-in for a model engine.
type Engine struct {
	config EngineConfig

	mu            sync.Mutex
	faults        EngineFaults
	bootCount     int
	bootID        string
	started       time.Time
	restarted     chan struct{} // closed by Restart: cuts what is running
	loaded        []dialect.ModelRef
	fencing       uint64
	orders        []dialect.Order
	cold          bool
	completedCold int // since the engine became cold
	running       int
	peak          int
	coldPeak      int
	collapses     int
	runs          []*EngineRun
}

// NewEngine returns a running engine stand-in.
func NewEngine(config EngineConfig) *Engine {
	config.ColdLimit = cmp.Or(config.ColdLimit, 2)
	config.WarmAfter = cmp.Or(config.WarmAfter, 20)
	config.CollapseFactor = cmp.Or(config.CollapseFactor, 20)
	config.CollapseDelay = cmp.Or(config.CollapseDelay, 20*time.Millisecond)
	e := &Engine{config: config, restarted: make(chan struct{})}
	e.boot(config.Cold)
	return e
}

// Handler returns the HTTP interface of the engine.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", e.serveChat).Methods(http.MethodPost)
	r.HandleFunc("/load", e.serveLoad).Methods(http.MethodGet)
	r.HandleFunc("/orders", e.serveOrder).Methods(http.MethodPost)
	r.HandleFunc("/standin/faults", e.serveFaults).Methods(http.MethodPost)
	r.HandleFunc("/standin/restart", func(http.ResponseWriter, *http.Request) { e.Restart() }).Methods(http.MethodPost)
	r.HandleFunc("/standin/cold", func(http.ResponseWriter, *http.Request) { e.MakeCold() }).Methods(http.MethodPost)
	r.HandleFunc("/standin/record", e.serveRecord).Methods(http.MethodGet)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if e.Faults().Refuse && !isControlPath(req.URL.Path) {
			panic(http.ErrAbortHandler)
		}
		r.ServeHTTP(w, req)
	})
}

func (e *Engine) boot(cold bool) {
	e.bootCount++
	e.bootID = fmt.Sprintf("boot-%p-%d", e, e.bootCount)
	e.started = time.Now()
	e.loaded = slices.Clone(e.config.Loaded)
	e.fencing = 0
	e.cold, e.completedCold = cold, 0
}

// Restart gives the engine a new boot id, makes it cold and cuts all running
// requests.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.restarted)
	e.restarted = make(chan struct{})
	e.boot(true)
}

// MakeCold makes the engine cold under the same boot id.
func (e *Engine) MakeCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold, e.completedCold = true, 0
}

// SetFaults replaces the fault switches.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Faults returns the fault switches.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// EngineRecord is what an engine stand-in has observed.
type EngineRecord struct {
	Runs   []EngineRun     `json:"runs"`
	Orders []dialect.Order `json:"orders"` // accepted ones
	Cold   bool            `json:"cold"`
	Peak   int             `json:"peak"` // most concurrent requests
	// ColdPeak is the most concurrent requests while cold.
	ColdPeak int `json:"cold_peak"`
	// Collapses counts the requests that a cold engine took above its limit.
	Collapses int `json:"collapses"`
}

// Record returns a copy of what the engine has observed.
func (e *Engine) Record() EngineRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	rec := EngineRecord{Orders: slices.Clone(e.orders), Cold: e.cold, Peak: e.peak,
		ColdPeak: e.coldPeak, Collapses: e.collapses, Runs: make([]EngineRun, len(e.runs))}
	for i, r := range e.runs {
		rec.Runs[i] = *r
	}
	return rec
}

// Status returns the engine's load report.
func (e *Engine) Status() dialect.EngineStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	return dialect.EngineStatus{BootID: e.bootID, Uptime: time.Since(e.started), Running: e.running,
		Loaded: slices.Clone(e.loaded), Resumes: e.config.Resumes}
}

// Apply performs an order and tells whether the fencing number was accepted.
func (e *Engine) Apply(o dialect.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.ChecksFencing && o.Fencing < e.fencing {
		return false
	}
	e.fencing = max(e.fencing, o.Fencing)
	e.orders = append(e.orders, o)
	e.loaded = slices.DeleteFunc(e.loaded, func(m dialect.ModelRef) bool { return m == o.Target })
	if o.Action == "load" {
		e.loaded = append(e.loaded, o.Target)
	}
	return true
}

// admit admits a request; the status is 0 when it runs.
func (e *Engine) admit(run *EngineRun) (restarted chan struct{}, status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.loaded, dialect.ModelRef{Model: run.Model, Version: run.Version}) {
		return nil, http.StatusNotFound
	}
	if e.config.MaxConcurrent > 0 && e.running >= e.config.MaxConcurrent {
		return nil, http.StatusServiceUnavailable
	}
	e.running++
	e.peak = max(e.peak, e.running)
	if e.cold {
		e.coldPeak = max(e.coldPeak, e.running)
		if e.running > e.config.ColdLimit {
			e.collapses++
			e.completedCold = 0
		}
	}
	run.Start = time.Now()
	e.runs = append(e.runs, run)
	return e.restarted, 0
}

// recordProgress records the tokens of a run that goes on.
func (e *Engine) recordProgress(run *EngineRun, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.Tokens = tokens
}

func (e *Engine) finishRun(run *EngineRun, tokens int, cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	run.Tokens, run.Cut, run.End = tokens, cut, time.Now()
	if e.cold && !cut && e.running < e.config.ColdLimit {
		e.completedCold++
		e.cold = e.completedCold < e.config.WarmAfter
	}
}

// nextTokenDelay returns the time to the next token at the present load.
func (e *Engine) nextTokenDelay(first bool) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.config.TokenDelay
	if first {
		d = 0
		if e.config.FirstTokenDelay != nil {
			d = e.config.FirstTokenDelay(e.running)
		}
	}
	if e.cold && e.running > e.config.ColdLimit {
		d = d*time.Duration(e.config.CollapseFactor) + e.config.CollapseDelay
	}
	return d
}
