// Package uniqueid makes identifiers that are unique among all processes of a fleet.
package uniqueid

import (
	"crypto/rand"
	"crypto/sha256"
	"io"
	"time"

	"github.com/oklog/ulid/v2"
)

// New returns a ULID of the current time whose random part comes from the system's random
// source. ulid.Make is not used, because its random part depends only on the time of the
// process's first call: processes that start together on several VMs make the same ids.
func New() string { return of("", time.Now(), rand.Reader) }

// ForProcess returns an id for a run of the process with the given name. The name is part
// of the random part, so that it differs between processes whose random sources are not
// seeded yet when their VMs start.
func ForProcess(name string) string { return of(name, time.Now(), rand.Reader) }

func of(name string, now time.Time, random io.Reader) string {
	var seed [sha256.Size]byte
	if _, err := io.ReadFull(random, seed[:]); err != nil {
		panic("uniqueid: no random source: " + err.Error()) // crypto/rand does not fail
	}
	if name != "" {
		seed = sha256.Sum256(append([]byte(name), seed[:]...))
	}
	var id ulid.ULID
	// The errors mean a time after the year 10889 and an entropy of another length.
	if err := id.SetTime(ulid.Timestamp(now)); err != nil {
		panic("uniqueid: " + err.Error())
	}
	if err := id.SetEntropy(seed[:10]); err != nil {
		panic("uniqueid: " + err.Error())
	}
	return id.String()
}
