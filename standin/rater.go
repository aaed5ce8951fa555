package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"hyssoploom/dialect"
)

// maxRateRequest is the largest accepted body of a rating request, in bytes.
const maxRateRequest = 8 << 20

// maxRatings limits the recorded ratings; the oldest are dropped.
const maxRatings = 100_000

// Judge decides whether an answer passes. u is a pseudo-random number in [0, 1)
// that depends only on the rater's seed, the request id, the model and the
// version, and so not on the order of calls.
type Judge func(r dialect.RateRequest, u float64) bool

// PassUnlessBAD passes every answer whose text does not contain the word "BAD".
func PassUnlessBAD(r dialect.RateRequest, _ float64) bool { return !strings.Contains(r.Answer, "BAD") }

// RaterOptions configures the stand-in rater.
type RaterOptions struct {
	Delay time.Duration // before each response
	Judge Judge         // PassUnlessBAD if nil
	Seed  uint64
}

// RatingRecord is a rating given by the stand-in, with its request.
type RatingRecord struct {
	Request dialect.RateRequest
	Rating  dialect.Rating
}

// Rater is a stand-in for the platform's rating service.
type Rater struct {
	mu      sync.Mutex
	options RaterOptions
	down    bool
	hang    chan struct{} // closed when the hang fault is switched off; nil without it
	calls   int
	pending int // calls without a response yet
	ratings []RatingRecord
}

// NewRater returns a stand-in rater.
func NewRater(o RaterOptions) *Rater {
	if o.Judge == nil {
		o.Judge = PassUnlessBAD
	}
	return &Rater{options: o}
}

// SetDelay sets the time before each response.
func (s *Rater) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options.Delay = d
}

// SetDown makes every call fail with status 503.
func (s *Rater) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetHang makes calls hang until the fault is switched off or the caller gives
// up.
func (s *Rater) SetHang(hang bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case hang && s.hang == nil:
		s.hang = make(chan struct{})
	case !hang && s.hang != nil:
		close(s.hang)
		s.hang = nil
	}
}

// SetJudge replaces the judge.
func (s *Rater) SetJudge(j Judge) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options.Judge = j
}

// Calls returns the number of calls, including failed ones.
func (s *Rater) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// PendingCalls returns the number of calls without a response. An abandoned call
// counts until the server has detected that its connection was closed.
func (s *Rater) PendingCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending
}

// Ratings returns a copy of the ratings given, oldest first.
func (s *Rater) Ratings() []RatingRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]RatingRecord(nil), s.ratings...)
}

// Handler serves the rater protocol of docs/rater-protocol.md.
func (s *Rater) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(dialect.RaterPath, s.rate).Methods(http.MethodPost)
	return r
}

func (s *Rater) rate(w http.ResponseWriter, req *http.Request) {
	s.mu.Lock()
	s.calls++
	s.pending++
	delay, hang := s.options.Delay, s.hang
	s.mu.Unlock()
	defer s.endCall()
	var r dialect.RateRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxRateRequest)).Decode(&r); err != nil || r.RequestID == "" {
		writeRaterError(w, http.StatusBadRequest, "bad_request", "body is not a rating request")
		return
	}
	if hang != nil {
		select {
		case <-hang:
		case <-req.Context().Done():
			return
		}
	}
	if !waitDelay(req, delay) {
		return
	}
	rating, ok := s.computeRating(r)
	if !ok {
		writeRaterError(w, http.StatusServiceUnavailable, "unavailable", "rater is down")
		return
	}
	writeRaterJSON(w, http.StatusOK, rating)
}

func (s *Rater) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending--
}

// waitDelay waits for d. It returns false if the caller gave up before.
func waitDelay(req *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-req.Context().Done():
		return false
	}
}

func (s *Rater) computeRating(r dialect.RateRequest) (dialect.Rating, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return dialect.Rating{}, false
	}
	id := xxhash.Sum64String(r.RequestID + "\x00" + r.Model + "\x00" + r.Version)
	u := rand.New(rand.NewPCG(s.options.Seed, id)).Float64()
	rating := dialect.Rating{Pass: s.options.Judge(r, u)}
	if rating.Pass {
		rating.Score = 1
	}
	s.ratings = append(s.ratings, RatingRecord{r, rating})
	if len(s.ratings) > maxRatings {
		s.ratings = s.ratings[1:]
	}
	return rating, true
}

func writeRaterError(w http.ResponseWriter, status int, code, message string) {
	writeRaterJSON(w, status, map[string]any{"error": map[string]string{"code": code, "message": message}})
}

func writeRaterJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails if the caller has closed the connection
}
