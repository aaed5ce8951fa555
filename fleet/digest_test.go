package fleet

import (
	"testing"
	"time"
)

// Guards against summaries that are equal although the copies differ, or differ although the
// copies are equal.
func TestSummaries(t *testing.T) {
	store := newRecordingStore()
	store.put("s/a", "ready")
	store.put("e/fyn", "1")
	followed, listed := newCopy(time.Now), newCopy(time.Now)
	listInto(followed, store)
	for _, change := range []string{"draining", "", "ready"} {
		store.put("s/a", change)
		store.put("s/b", change)
		follow(followed, store, "s/")
		follow(followed, store, "e/")
		listInto(listed, store)
		for _, prefix := range copyPrefixes {
			if a, b := followed.Summaries()[prefix], listed.Summaries()[prefix]; a != b {
				t.Errorf("after %q, under %s: %+v and %+v", change, prefix, a, b)
			}
		}
	}
	before := listed.Summaries()["s/"]
	for _, change := range []string{"draining", ""} {
		store.put("s/b", change)
		listInto(listed, store)
		if after := listed.Summaries()["s/"]; after.Digest == before.Digest || after.Revision <= before.Revision {
			t.Errorf("after %q: %+v as before", change, after)
		}
	}
	if n := before.Keys; n != 2 {
		t.Errorf("%d keys", n)
	}
}
