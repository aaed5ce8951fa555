package main

import "net/http"

// promises tells whether an answer promises that the request has not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkOnce reports whether requests that aren't idempotent ran at most once (TWICE), and none
// that was refused ran (REFUSED).
func (t *trial) checkOnce(replies map[string]reply) (held bool) {
	held = true
	statuses := make(map[int]int)
	for id, r := range replies {
		runs := t.runsOf(id)
		statuses[r.status]++
		if len(runs) > 1 {
			held = false
			t.say("TWICE: %s ran at %v, the client got %s", id, runs, r)
		}
		if len(runs) > 0 && promises(r.status) {
			held = false
			t.say("REFUSED: %s ran at %v, the client got %s", id, runs, r)
		}
	}
	t.say("%d requests, by the status of the answer %v", len(replies), statuses)
	return held
}
