package ledger

import (
	"crypto/sha256"
	"encoding/hex"
)

// bodyHashBytes is the length of a body hash, a truncated SHA-256. The hash
// distinguishes requests of one workspace that have the same request id.
const bodyHashBytes = 16

// HashBody returns the value of Row.BodyHash for the body of a request.
func HashBody(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:bodyHashBytes])
}

// HashCall returns the value of Row.BodyHash for a call to a plain service. It
// covers method, service and path, because the same body sent to another path is
// a different call.
func HashCall(method, service, path string, body []byte) string {
	return HashBody(append([]byte(method+"\n"+service+"\n"+path+"\n"), body...))
}
