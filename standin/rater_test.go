package standin

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"hyssoploom/dialect"
)

func startRater(t *testing.T, o RaterOptions) (*Rater, *dialect.HTTPRater) {
	t.Helper()
	s := NewRater(o)
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	client, err := dialect.NewHTTPRater(server.URL, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.CloseIdle)
	return s, client
}

// Guards against a mismatch between the rater client and the stand-in server.
func TestRaterRoundTrip(t *testing.T) {
	s, client := startRater(t, RaterOptions{})
	for answer, pass := range map[string]bool{"fine": true, "this is BAD": false} {
		got, err := client.Rate(context.Background(), dialect.RateRequest{RequestID: "r1", TaskClass: "c", Answer: answer})
		if err != nil || got.Pass != pass {
			t.Errorf("Rate(%q) = %v, %v; want pass %v", answer, got, err, pass)
		}
	}
	if got := s.Ratings(); len(got) != 2 || got[0].Request.TaskClass != "c" {
		t.Errorf("Ratings() = %v; want both with their task class", got)
	}
}

// Guards against rater faults that are reported as ratings or with the wrong
// error.
func TestRaterFaults(t *testing.T) {
	s := NewRater(RaterOptions{})
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	ask := func(id string, timeout time.Duration) error {
		client, err := dialect.NewHTTPRater(server.URL, timeout)
		if err != nil {
			t.Fatal(err)
		}
		defer client.CloseIdle()
		_, err = client.Rate(context.Background(), dialect.RateRequest{RequestID: id})
		return err
	}
	const long, short = 10 * time.Second, 50 * time.Millisecond
	s.SetDown(true)
	if err := ask("r", long); !errors.Is(err, dialect.ErrRaterUnavailable) {
		t.Errorf("down: %v", err)
	}
	s.SetDown(false)
	s.SetHang(true)
	if err := ask("r", short); !errors.Is(err, dialect.ErrRaterTimeout) {
		t.Errorf("hanging: %v", err)
	}
	waitNoPendingCalls(t, s)
	s.SetHang(false)
	s.SetDelay(long)
	if err := ask("r", short); !errors.Is(err, dialect.ErrRaterTimeout) {
		t.Errorf("slow: %v", err)
	}
	s.SetDelay(0)
	if err := ask("", long); !errors.Is(err, dialect.ErrRaterRejected) {
		t.Errorf("without request id: %v", err)
	}
	if err := ask("r", long); err != nil {
		t.Errorf("after the faults: %v", err)
	}
	if got := len(s.Ratings()); got != 1 {
		t.Errorf("%d ratings recorded; want 1", got)
	}
}

// waitNoPendingCalls waits until the stand-in has detected that its callers gave
// up. Otherwise a call that timed out may still be rated when the hang ends.
func waitNoPendingCalls(t *testing.T, s *Rater) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); s.PendingCalls() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d calls still pending after their callers gave up", s.PendingCalls())
		}
	}
}

// Guards against ratings that depend on the order of calls: the same seed must
// give each request the same result.
func TestRaterSeed(t *testing.T) {
	var runs [2][]bool
	for run := range runs {
		_, client := startRater(t, RaterOptions{Seed: 7, Judge: func(_ dialect.RateRequest, u float64) bool { return u < 0.5 }})
		ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
		for i := range ids {
			if run == 1 {
				i = len(ids) - 1 - i
			}
			r, err := client.Rate(context.Background(), dialect.RateRequest{RequestID: ids[i], Model: "m"})
			if err != nil {
				t.Fatal(err)
			}
			runs[run] = append(runs[run], r.Pass)
		}
	}
	for i, pass := range runs[0] {
		if pass != runs[1][len(runs[1])-1-i] {
			t.Fatalf("results %v and, in reverse order of calls, %v", runs[0], runs[1])
		}
	}
}

// Guards against accepting a malformed response as a rating.
func TestRaterMalformed(t *testing.T) {
	for body, status := range map[string]int{`{"score":1}`: 200, `{"pass":true,"score":2}`: 200, `no`: 200} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}))
		client, err := dialect.NewHTTPRater(server.URL, 0)
		if err != nil {
			t.Fatal(err)
		}
		_, err = client.Rate(context.Background(), dialect.RateRequest{RequestID: "r"})
		if !errors.Is(err, dialect.ErrRaterProtocol) {
			t.Errorf("body %s: %v", body, err)
		}
		client.CloseIdle()
		server.Close()
	}
	if _, err := dialect.NewHTTPRater("localhost:1", 0); err == nil {
		t.Error("NewHTTPRater accepted a URL without scheme")
	}
}
