package standin

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"hyssoploom/dialect"
)

// VMList is a stand-in for the platform's VM list.
type VMList struct {
	mu        sync.Mutex
	snapshots []vmSnapshot // oldest first
	lag       time.Duration
	down      bool
}

type vmSnapshot struct {
	at  time.Time
	vms []dialect.VM
}

var _ dialect.VMList = (*VMList)(nil)

// NewVMList returns an empty list without a lag.
func NewVMList() *VMList { return &VMList{} }

// Set replaces the list. Readers see the change once the lag has passed.
func (l *VMList) Set(vms ...dialect.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snapshots = append(l.snapshots, vmSnapshot{at: time.Now(), vms: slices.Clone(vms)})
}

// SetLag sets how far the list that readers see is out of date.
func (l *VMList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetDown makes reads fail.
func (l *VMList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// VMs returns the list as it was before the lag, or no VMs if none had been set
// by then.
func (l *VMList) VMs(context.Context) ([]dialect.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, errDown
	}
	asOf := time.Now().Add(-l.lag)
	for _, v := range slices.Backward(l.snapshots) {
		if !v.at.After(asOf) {
			return slices.Clone(v.vms), nil
		}
	}
	return nil, nil
}

// Handler serves the VM list protocol of docs/platform-protocols.md.
func (l *VMList) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/vms", func(w http.ResponseWriter, r *http.Request) {
		vms, err := l.VMs(r.Context())
		respond(w, dialect.VMsBody{VMs: vms}, err)
	}).Methods(http.MethodGet)
	return r
}
