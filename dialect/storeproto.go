package dialect

// The bodies of the store protocol, see docs/platform-protocols.md. Values are
// base64 in JSON.

// KVBody is one key.
type KVBody struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// ListBody answers a list.
type ListBody struct {
	KVs      []KVBody `json:"kvs"`
	Revision uint64   `json:"revision"`
}

// WatchBody answers a watch.
type WatchBody struct {
	Events   []KVBody `json:"events"`
	Revision uint64   `json:"revision"`
}

// SwapBody requests a compare-and-swap.
type SwapBody struct {
	Key              string `json:"key"`
	Value            []byte `json:"value,omitempty"`
	ExpectedRevision uint64 `json:"expect"`
	Delete           bool   `json:"delete,omitempty"`
	Lease            Lease  `json:"lease,omitempty"`
}

// RevisionBody answers a compare-and-swap.
type RevisionBody struct {
	Revision uint64 `json:"revision"`
}

// LeaseBody requests and answers the grant of a lease.
type LeaseBody struct {
	Lease Lease `json:"lease,omitempty"`
	TTLMS int64 `json:"ttl_ms,omitempty"`
}

// VMsBody answers a request for the VM list.
type VMsBody struct {
	VMs []VM `json:"vms"`
}

// ErrorBody answers a failed request.
type ErrorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Current is set with CodeConflict.
	Current *KVBody `json:"current,omitempty"`
}

// The codes of ErrorBody.
const (
	CodeNotFound    = "not_found"
	CodeConflict    = "conflict"
	CodeUnavailable = "unavailable" // certainly not applied
	CodeCompacted   = "compacted"
	CodeLeaseEnded  = "lease_ended"
	CodeTooLarge    = "value_too_large"
	CodeBadRequest  = "bad_request"
)
