package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"hyssoploom/platform"
)

// maxSwapBytes bounds a request body: a value in base64 and its envelope.
const maxSwapBytes = platform.MaxValueBytes*4/3 + 64<<10

// Handler serves the protocol of docs/platform-protocols.md.
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
	body := platform.ListBody{KVs: make([]platform.KVBody, 0, len(kvs)), Revision: rev}
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
	body := platform.WatchBody{Events: make([]platform.KVBody, 0, len(events)), Revision: rev}
	for _, e := range events {
		b := e.KV.Body()
		b.Deleted = e.Deleted
		body.Events = append(body.Events, b)
	}
	respond(w, body, err)
}

func (s *Store) serveSwap(w http.ResponseWriter, r *http.Request) {
	var in platform.SwapBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSwapBytes)).Decode(&in); err != nil {
		badRequest(w, err)
		return
	}
	rev, err := s.Swap(r.Context(), platform.Write(in))
	respond(w, platform.RevisionBody{Revision: rev}, err)
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var in platform.LeaseBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSwapBytes)).Decode(&in); err != nil {
		badRequest(w, err)
		return
	}
	id, err := s.Grant(r.Context(), time.Duration(in.TTLMS)*time.Millisecond)
	respond(w, platform.LeaseBody{Lease: id, TTLMS: in.TTLMS}, err)
}

func (s *Store) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	respond(w, struct{}{}, s.KeepAlive(r.Context(), platform.Lease(mux.Vars(r)["lease"])))
}

func (s *Store) serveRevoke(w http.ResponseWriter, r *http.Request) {
	respond(w, struct{}{}, s.Revoke(r.Context(), platform.Lease(mux.Vars(r)["lease"])))
}

// respond writes a body or an error. A lost response closes the connection
// without one.
func respond(w http.ResponseWriter, body any, err error) {
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, body)
	case errors.As(err, &conflict):
		current := conflict.Current.Body()
		writeJSON(w, http.StatusConflict, platform.ErrorBody{Code: platform.CodeConflict,
			Message: err.Error(), Current: &current})
	case errors.Is(err, platform.ErrNotFound):
		writeError(w, http.StatusNotFound, platform.CodeNotFound, err)
	case errors.Is(err, platform.ErrCompacted):
		writeError(w, http.StatusGone, platform.CodeCompacted, err)
	case errors.Is(err, platform.ErrLeaseEnded):
		writeError(w, http.StatusGone, platform.CodeLeaseEnded, err)
	case errors.Is(err, platform.ErrValueTooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, platform.CodeTooLarge, err)
	case errors.Is(err, platform.ErrUnavailable):
		writeError(w, http.StatusServiceUnavailable, platform.CodeUnavailable, err)
	default:
		panic(http.ErrAbortHandler)
	}
}

func badRequest(w http.ResponseWriter, err error) {
	writeError(w, http.StatusBadRequest, platform.CodeBadRequest, err)
}

func writeError(w http.ResponseWriter, status int, code string, err error) {
	writeJSON(w, status, platform.ErrorBody{Code: code, Message: err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client notices a response that was cut off.
	_ = json.NewEncoder(w).Encode(body)
}
