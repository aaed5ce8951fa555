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

// HashCall returns the hash of a call to a plain service: the same body sent to
// another path is another call.
func HashCall(method, service, path string, body []byte) string {
	return HashBody(append([]byte(method+"\n"+service+"\n"+path+"\n"), body...))
}
