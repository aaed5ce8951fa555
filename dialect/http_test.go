package dialect_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"hyssoploom/dialect"
	"hyssoploom/standin"
)

// Guards against a mismatch between the store client and the stand-in server.
func TestStoreProtocol(t *testing.T) {
	backing := standin.NewStore()
	srv := httptest.NewServer(backing.Handler())
	defer srv.Close()
	s, ctx := dialect.NewHTTPStore(srv.URL+"/"), t.Context()

	if _, err := s.Get(ctx, "a/1"); !errors.Is(err, dialect.ErrNotFound) {
		t.Fatalf("Get of a missing key: %v", err)
	}
	lease, err := s.Grant(ctx, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	first := must(s.CompareAndSwap(ctx, dialect.Write{Key: "a/1", Value: []byte{0, 255}, Lease: lease}))(t)
	must(s.CompareAndSwap(ctx, dialect.Write{Key: "b/1", Value: []byte("x")}))(t)
	var conflict *dialect.ConflictError
	if _, err := s.CompareAndSwap(ctx, dialect.Write{Key: "a/1"}); !errors.As(err, &conflict) || conflict.Current.Revision != first {
		t.Fatalf("CompareAndSwap over an existing key: %v", err)
	}
	kvs, rev, err := s.List(ctx, "a/")
	if err != nil || len(kvs) != 1 || string(kvs[0].Value) != "\x00\xff" || rev != 2 {
		t.Fatalf("List = %v, %d, %v", kvs, rev, err)
	}
	if err := errors.Join(s.KeepAlive(ctx, lease), s.Revoke(ctx, lease)); err != nil {
		t.Fatal(err)
	}
	events, next, err := s.Watch(ctx, "a/", rev, time.Minute)
	if err != nil || len(events) != 1 || !events[0].Deleted || events[0].Revision != 3 || next != 3 {
		t.Fatalf("Watch after revoke = %v, %d, %v", events, next, err)
	}
	if err := s.KeepAlive(ctx, lease); !errors.Is(err, dialect.ErrLeaseEnded) {
		t.Fatalf("KeepAlive of a revoked lease: %v", err)
	}
	if _, err := s.CompareAndSwap(ctx, dialect.Write{Key: "c", Lease: lease}); !errors.Is(err, dialect.ErrLeaseEnded) {
		t.Fatalf("CompareAndSwap with a revoked lease: %v", err)
	}
	if _, err := s.CompareAndSwap(ctx, dialect.Write{Key: "c", Value: make([]byte, dialect.MaxValueBytes+1)}); !errors.Is(err, dialect.ErrValueTooLarge) {
		t.Fatalf("CompareAndSwap of a large value: %v", err)
	}
	backing.SetHistoryLimit(1)
	if _, _, err := s.Watch(ctx, "", 0, 0); !errors.Is(err, dialect.ErrCompacted) {
		t.Fatalf("Watch from the start: %v", err)
	}
}

func must(rev uint64, err error) func(*testing.T) uint64 {
	return func(t *testing.T) uint64 {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return rev
	}
}

// Guards against misclassified failures: a write that may have been applied must
// fail with ErrUnknownOutcome, one that was not with ErrUnavailable.
func TestErrorClasses(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) {
		// net/http detects a closed client connection only after the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	for name, c := range map[string]struct {
		serve       http.HandlerFunc
		read, write error
	}{
		"refused":      {nil, dialect.ErrUnavailable, dialect.ErrUnavailable},
		"closed":       {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, dialect.ErrUnavailable, dialect.ErrUnknownOutcome},
		"silent":       {hang, dialect.ErrUnavailable, dialect.ErrUnknownOutcome},
		"intermediary": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, dialect.ErrUnavailable, dialect.ErrUnknownOutcome},
		"redirect":     {func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/x", http.StatusTemporaryRedirect) }, dialect.ErrUnavailable, dialect.ErrUnknownOutcome},
		"store": {func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(503)
			_, _ = w.Write([]byte(`{"code":"unavailable"}`))
		}, dialect.ErrUnavailable, dialect.ErrUnavailable},
		"truncated": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"revision":4}`))
		}, dialect.ErrUnavailable, dialect.ErrUnknownOutcome},
	} {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(c.serve)
			defer srv.Close()
			if c.serve == nil {
				srv.Close()
			}
			s := dialect.NewHTTPStore(srv.URL, dialect.WithCallTimeout(100*time.Millisecond), dialect.WithWatchMargin(100*time.Millisecond))
			_, readErr := s.Get(t.Context(), "k")
			_, _, watchErr := s.Watch(t.Context(), "k", 0, 10*time.Millisecond)
			_, writeErr := s.CompareAndSwap(t.Context(), dialect.Write{Key: "k"})
			if !errors.Is(readErr, c.read) || !errors.Is(watchErr, c.read) || !errors.Is(writeErr, c.write) {
				t.Fatalf("read: %v, watch: %v, write: %v", readErr, watchErr, writeErr)
			}
			if errors.Is(writeErr, dialect.ErrUnavailable) && c.write == dialect.ErrUnknownOutcome {
				t.Fatalf("write with an unknown outcome also matches ErrUnavailable: %v", writeErr)
			}
		})
	}
}

// Guards against a write that the HTTP transport retries when the server closes
// a reused connection.
func TestWriteIsSentOnce(t *testing.T) {
	var swaps atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			swaps.Add(1)
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(`{"kvs":[],"revision":1}`))
	}))
	defer srv.Close()
	s := dialect.NewHTTPStore(srv.URL)
	if _, _, err := s.List(t.Context(), ""); err != nil {
		t.Fatal(err)
	}
	if _, err := s.CompareAndSwap(t.Context(), dialect.Write{Key: "k"}); !errors.Is(err, dialect.ErrUnknownOutcome) || swaps.Load() != 1 {
		t.Fatalf("CompareAndSwap sent %d times, %v", swaps.Load(), err)
	}
}

// Guards against reusing a connection that has stopped responding: after a
// timeout, the next call must open a new one.
func TestNewConnectionAfterSilence(t *testing.T) {
	var conns atomic.Int32
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conns.Load() == 1 {
			<-r.Context().Done()
			return
		}
		_, _ = w.Write([]byte(`{"vms":[{"name":"vm-1","leaving":true}]}`))
	}))
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			conns.Add(1)
		}
	}
	srv.Start()
	defer srv.Close()
	l := dialect.NewHTTPVMList(srv.URL, dialect.WithCallTimeout(100*time.Millisecond))
	if _, err := l.VMs(t.Context()); !errors.Is(err, dialect.ErrUnavailable) || !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("call on an unresponsive connection: %v", err)
	}
	vms, err := l.VMs(t.Context())
	if err != nil || len(vms) != 1 || !vms[0].Leaving {
		t.Fatalf("call after a timeout: %v, %v", vms, err)
	}
}
