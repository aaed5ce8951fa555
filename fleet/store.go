package fleet

import (
	"context"
	"errors"
	"time"
)

// Errors of the store. After any other error of a write it is unknown whether the write
// took effect.
var (
	// ErrCompacted means that the store no longer has the requested changes.
	ErrCompacted = errors.New("changes since this revision are no longer available")
	// ErrConflict means that a condition of a write was not met.
	ErrConflict = errors.New("a condition of the write does not hold")
	// ErrLeaseEnded means that the lease has expired or does not exist.
	ErrLeaseEnded = errors.New("lease has ended")
	// ErrNotApplied means that the store did not execute the call.
	ErrNotApplied = errors.New("the store did not carry out the call")
)

// Condition requires that a key has the given revision; 0 means that it does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Put writes a key. A key with Lease 0 remains until it is deleted. Other leases are those
// that Store.Grant returned.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// The store may go back to an earlier copy. It then loses changes that it has acknowledged
// and gives their revisions out again, to other changes. Each time begins a new era. The
// revisions of this package contain their era, so that they are ordered and unique across
// eras.

// eraShift is the number of bits of a revision within its era.
const eraShift = 48

// MaxEra is the highest era.
const MaxEra = 1<<(63-eraShift) - 1

// RevisionInEra returns the revision of an era with the number that the store gave it. The
// revision 0 stands for no revision in any era.
func RevisionInEra(era, number int64) int64 {
	if number == 0 {
		return 0
	}
	return era<<eraShift | number
}

// Era returns the era of a revision.
func Era(revision int64) int64 { return revision >> eraShift }

// StoreRevision returns the number of a revision in its era, by which the store knows it.
func StoreRevision(revision int64) int64 { return revision & (1<<eraShift - 1) }

// Store is the subset of the platform's key-value store that this system uses.
type Store interface {
	List(ctx context.Context, prefix string) ([]Item, int64, error)
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error)
	Commit(ctx context.Context, conditions []Condition, puts []Put) (int64, error)
	Grant(ctx context.Context, ttl time.Duration) (lease int64, err error)
	Renew(ctx context.Context, lease int64) error
	Revoke(ctx context.Context, lease int64) error
	// Era returns the newest era of the store that is known.
	Era() int64
}
