package dialect

// The JSON bodies of the store protocol are described in
// docs/platform-protocols.md. Values are encoded as base64.

// KVBody is a key with its value and revision, or a deleted key.
type KVBody struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// ListBody is the response to a list request.
type ListBody struct {
	KVs      []KVBody `json:"kvs"`
	Revision uint64   `json:"revision"`
}

// WatchBody is the response to a watch request.
type WatchBody struct {
	Events   []KVBody `json:"events"`
	Revision uint64   `json:"revision"`
}

// SwapBody is a compare-and-swap request. Its fields match those of Write, so
// that the two types convert into each other.
type SwapBody struct {
	Key              string `json:"key"`
	Value            []byte `json:"value,omitempty"`
	ExpectedRevision uint64 `json:"expect"`
	Delete           bool   `json:"delete,omitempty"`
	Lease            Lease  `json:"lease,omitempty"`
}

// RevisionBody is the response to a compare-and-swap request.
type RevisionBody struct {
	Revision uint64 `json:"revision"`
}

// LeaseBody is the request for a lease and the response to it.
type LeaseBody struct {
	Lease Lease `json:"lease,omitempty"`
	TTLMS int64 `json:"ttl_ms,omitempty"`
}

// VMsBody is the response to a request for the VM list.
type VMsBody struct {
	VMs []VM `json:"vms"`
}

// ErrorBody is the response to a failed request.
type ErrorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Current is set with CodeConflict.
	Current *KVBody `json:"current,omitempty"`
}

// Values of ErrorBody.Code.
const (
	CodeNotFound    = "not_found"
	CodeConflict    = "conflict"
	CodeUnavailable = "unavailable" // known not to have been applied
	CodeCompacted   = "compacted"
	CodeLeaseEnded  = "lease_ended"
	CodeTooLarge    = "value_too_large"
	CodeBadRequest  = "bad_request"
)
