package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"hyssoploom/dialect"
)

// maxSwapBytes limits a request body: a value in base64 and the other fields.
const maxSwapBytes = dialect.MaxValueBytes*4/3 + 64<<10

// Handler serves the store protocol of docs/platform-protocols.md.
func (s *Store) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/kv", s.serveGet).Methods(http.MethodGet)
	r.HandleFunc("/v1/list", s.serveList).Methods(http.MethodGet)
	r.HandleFunc("/v1/watch", s.serveWatch).Methods(http.MethodGet)
	r.HandleFunc("/v1/swap", s.serveSwap).Methods(http.MethodPost)
	r.HandleFunc("/v1/leases", s.serveGrant).Methods(http.MethodPost)
	r.HandleFunc("/v1/leases/{lease}/keepalive", s.serveKeepAlive).Methods(http.MethodPost)
	r.HandleFunc("/v1/leases/{lease}", s.serveRevoke).Methods(http.MethodDelete)
	return r
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	kv, err := s.Get(r.Context(), r.FormValue("key"))
	respond(w, kv.Body(), err)
}

func (s *Store) serveList(w http.ResponseWriter, r *http.Request) {
	kvs, rev, err := s.List(r.Context(), r.FormValue("prefix"))
	body := dialect.ListBody{KVs: make([]dialect.KVBody, 0, len(kvs)), Revision: rev}
	for _, kv := range kvs {
		body.KVs = append(body.KVs, kv.Body())
	}
	respond(w, body, err)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err1 := strconv.ParseUint(r.FormValue("after"), 10, 64)
	waitMS, err2 := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	if err := errors.Join(err1, err2); err != nil {
		badRequest(w, err)
		return
	}
	events, rev, err := s.Watch(r.Context(), r.FormValue("prefix"), after, time.Duration(waitMS)*time.Millisecond)
	body := dialect.WatchBody{Events: make([]dialect.KVBody, 0, len(events)), Revision: rev}
	for _, e := range events {
		b := e.KV.Body()
		b.Deleted = e.Deleted
		body.Events = append(body.Events, b)
	}
	respond(w, body, err)
}

func (s *Store) serveSwap(w http.ResponseWriter, r *http.Request) {
	var in dialect.SwapBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSwapBytes)).Decode(&in); err != nil {
		badRequest(w, err)
		return
	}
	rev, err := s.CompareAndSwap(r.Context(), dialect.Write(in))
	respond(w, dialect.RevisionBody{Revision: rev}, err)
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var in dialect.LeaseBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSwapBytes)).Decode(&in); err != nil {
		badRequest(w, err)
		return
	}
	id, err := s.Grant(r.Context(), time.Duration(in.TTLMS)*time.Millisecond)
	respond(w, dialect.LeaseBody{Lease: id, TTLMS: in.TTLMS}, err)
}

func (s *Store) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	respond(w, struct{}{}, s.KeepAlive(r.Context(), dialect.Lease(mux.Vars(r)["lease"])))
}

func (s *Store) serveRevoke(w http.ResponseWriter, r *http.Request) {
	respond(w, struct{}{}, s.Revoke(r.Context(), dialect.Lease(mux.Vars(r)["lease"])))
}

// respond writes a body or an error. For dialect.ErrUnknownOutcome it closes the
// connection without a response.
func respond(w http.ResponseWriter, body any, err error) {
	var conflict *dialect.ConflictError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, body)
	case errors.As(err, &conflict):
		current := conflict.Current.Body()
		writeJSON(w, http.StatusConflict, dialect.ErrorBody{Code: dialect.CodeConflict,
			Message: err.Error(), Current: &current})
	case errors.Is(err, dialect.ErrNotFound):
		writeError(w, http.StatusNotFound, dialect.CodeNotFound, err)
	case errors.Is(err, dialect.ErrCompacted):
		writeError(w, http.StatusGone, dialect.CodeCompacted, err)
	case errors.Is(err, dialect.ErrLeaseEnded):
		writeError(w, http.StatusGone, dialect.CodeLeaseEnded, err)
	case errors.Is(err, dialect.ErrValueTooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, dialect.CodeTooLarge, err)
	case errors.Is(err, dialect.ErrUnavailable):
		writeError(w, http.StatusServiceUnavailable, dialect.CodeUnavailable, err)
	default:
		panic(http.ErrAbortHandler)
	}
}

func badRequest(w http.ResponseWriter, err error) {
	writeError(w, http.StatusBadRequest, dialect.CodeBadRequest, err)
}

func writeError(w http.ResponseWriter, status int, code string, err error) {
	writeJSON(w, status, dialect.ErrorBody{Code: code, Message: err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error is ignored: the client detects a truncated response.
	_ = json.NewEncoder(w).Encode(body)
}
