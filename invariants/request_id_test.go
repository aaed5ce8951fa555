package invariants

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"hyssoploom/standin"
)

// Guards against answers that are delivered to the wrong caller when several callers
// use the same request id concurrently. An attempt must not attach to the stream of
// another request.
func TestSameRequestIDFromManyCallers(t *testing.T) {
	f := startFleet(t, oneDataCentreSpec(engineSpec("small-1", "small", 40, 2*time.Millisecond)))
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			prompt := fmt.Sprintf("question %d", i)
			r := f.send(chat("same-id", "entry-1", "small", prompt, i%2 == 0))
			want := strings.Join(standin.AnswerTokens("small", "1", prompt, 40, false), "")
			if got := r.content(); r.status != 200 || got != want {
				t.Errorf("caller %d: %d, got %q, want %q", i, r.status, got, want)
			}
		}()
	}
	callers.Wait()
}
