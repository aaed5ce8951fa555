package ledger

import (
	"crypto/sha256"
	"encoding/hex"
)

// bodyHashBytes is the length of a body hash. The hash tells requests of one
// workspace with the same request id apart.
const bodyHashBytes = 16

// HashBody returns the hash of a request's body for Row.BodyHash.
func HashBody(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:bodyHashBytes])
}
