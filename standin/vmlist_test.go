package standin

import (
	"testing"
	"testing/synctest"
	"time"

	"hyssoploom/dialect"
)

// Guards against a lag setting without effect, which would make the tests that
// use it check nothing.
func TestVMListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewVMList()
		l.Set(dialect.VM{Name: "a"})
		time.Sleep(time.Minute)
		l.SetLag(10 * time.Second)
		l.Set(dialect.VM{Name: "a", Leaving: true})
		time.Sleep(9 * time.Second)
		if vms, _ := l.VMs(t.Context()); len(vms) != 1 || vms[0].Leaving {
			t.Fatalf("before the lag: %v", vms)
		}
		time.Sleep(2 * time.Second)
		if vms, _ := l.VMs(t.Context()); len(vms) != 1 || !vms[0].Leaving {
			t.Fatalf("after the lag: %v", vms)
		}
	})
}

// Guards against leases that stay without keep-alives, or that expire despite
// them.
func TestLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStore()
		id, _ := s.Grant(t.Context(), 10*time.Second)
		if _, err := s.CompareAndSwap(t.Context(), dialect.Write{Key: "k", Lease: id}); err != nil {
			t.Fatal(err)
		}
		for range 3 {
			time.Sleep(9 * time.Second)
			if err := s.KeepAlive(t.Context(), id); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(11 * time.Second)
		if _, err := s.Get(t.Context(), "k"); err != dialect.ErrNotFound {
			t.Fatalf("key of an expired lease: %v", err)
		}
		if c := s.Counts(); c != (Counts{Reads: 1, Writes: 5}) {
			t.Fatalf("counts are %+v", c)
		}
	})
}
