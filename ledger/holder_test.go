package ledger

import (
	"testing"

	"hyssoploom/internal/faketest"
)

// Guards against a report that a small charge is durable which makes the agent
// forget a larger charge of the same request, of the same entry or another.
func TestReleaseKeepsOtherForms(t *testing.T) {
	small, large := row(1, 2), row(1, 6)
	small.Attempt = "2"
	for _, entries := range [][2]string{{"entry-1", "entry-1"}, {"entry-1", "entry-2"}} {
		w := NewWriter(new(faketest.Store), "agent", nil)
		h := NewRowBuffer(w)
		h.Hold(entries[0], large)
		h.Hold(entries[1], small)
		h.Release(entries[1], []RowRef{small.Ref()})
		if n := h.Len(); n != 1 {
			t.Errorf("%v: %d rows held, want 1", entries, n)
		}
		if n := h.HandOver(entries[0]); n != 1 || w.waiting[large.Key()].row != large.normal() {
			t.Errorf("%v: %d orphans, writer has %v; want the larger charge", entries, n, w.waiting)
		}
	}
}
