package ledger

import (
	"testing"

	"hyssoploom/internal/faketest"
)

// Guards against losing a larger charge when a smaller charge of the same request
// is reported durable, by the same entry or by another one.
func TestReleaseKeepsOtherForms(t *testing.T) {
	small, large := row(1, 2), row(1, 6)
	small.Attempt = "2"
	for _, entries := range [][2]string{{"entry-1", "entry-1"}, {"entry-1", "entry-2"}} {
		w := NewWriter(new(faketest.Store), "agent", nil)
		buf := NewRowBuffer(w)
		buf.Hold(entries[0], large)
		buf.Hold(entries[1], small)
		buf.Release(entries[1], []RowRef{small.Ref()})
		if n := buf.Len(); n != 1 {
			t.Errorf("%v: %d rows held, want 1", entries, n)
		}
		if n := buf.HandOver(entries[0]); n != 1 || w.waiting[large.Key()].row != large.normalized() {
			t.Errorf("%v: %d orphans, writer has %v; want the larger charge", entries, n, w.waiting)
		}
	}
}
