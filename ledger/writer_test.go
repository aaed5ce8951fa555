package ledger

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"hyssoploom/internal/faketest"
)

func row(request int, amount int64) Row {
	return Row{
		Workspace: "jylland", RequestID: fmt.Sprintf("r-%d", request), BodyHash: "b", Attempt: "1",
		Model: "brief", Version: "2026-11-30", TokensOut: amount, Amount: amount, Outcome: "complete",
		At: time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC),
	}
}

// Guards against rows that are lost or never reported durable in plain running.
func TestWriterGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := new(faketest.Store)
		w := NewWriter(store, "boot", nil)
		reported := 0
		w.OnDurable = func(keys []RowKey) { reported += len(keys) }
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = w.Serve(ctx) }()
		for i := range 100 {
			defer func(done <-chan struct{}) { <-done }(w.Add(row(i, 1)))
		}
		time.Sleep(2 * DefaultWindow)
		stop()
		synctest.Wait()
		book, err := Read(t.Context(), store)
		if err != nil || book.Len() != 100 || reported != 100 || store.Calls("swap") != 1 {
			t.Fatalf("%d rows, %v, %d reported, %d writes; want 100, 100, 1", book.Len(), err, reported, store.Calls("swap"))
		}
	})
}
