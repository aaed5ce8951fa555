package config

import (
	"fmt"
	"regexp"
	"strings"
)

// KindQuarantine is the kind of the records under QuarantinePrefix. They are not
// operator records: the apply command neither writes nor prunes them.
const KindQuarantine Kind = "quarantine"

// The prefixes of the keys that a snapshot holds.
const (
	RecordPrefix     = "config/"
	QuarantinePrefix = "state/quarantine/"
)

// Kinds lists the kinds of operator records in the order in which the apply
// command writes them: a record comes after those that it refers to.
func Kinds() []Kind {
	return []Kind{KindDataCentre, KindModel, KindService, KindCascade, KindBackendServer, KindWorkspace}
}

// Prefixes lists the prefixes of the keys that a snapshot holds.
func Prefixes() []string { return []string{RecordPrefix, QuarantinePrefix} }

// Key returns the store key of an operator record.
func Key(kind Kind, name string) string { return RecordPrefix + string(kind) + "/" + name }

// QuarantineKey returns the store key of the quarantine of a model version.
func QuarantineKey(model, version string) string {
	return QuarantinePrefix + model + "/" + version
}

// ParseKey returns the kind and name in a store key. The name of a quarantine is
// "model/version".
func ParseKey(key string) (Kind, string, error) {
	if name, ok := strings.CutPrefix(key, QuarantinePrefix); ok {
		model, version, _ := strings.Cut(name, "/")
		if !ValidName(model) || !ValidName(version) {
			return "", "", fmt.Errorf("key %q is not of the form %s<model>/<version>", key, QuarantinePrefix)
		}
		return KindQuarantine, name, nil
	}
	rest, ok := strings.CutPrefix(key, RecordPrefix)
	kind, name, found := strings.Cut(rest, "/")
	if !ok || !found || !ValidName(name) {
		return "", "", fmt.Errorf("key %q is not of the form %s<kind>/<name>", key, RecordPrefix)
	}
	return Kind(kind), name, nil
}

// prefixOf returns the element of Prefixes that the key starts with, or "" if a
// snapshot does not hold the key.
func prefixOf(key string) string {
	for _, p := range Prefixes() {
		if strings.HasPrefix(key, p) {
			return p
		}
	}
	return ""
}

// Names are parts of store keys and of "model@version", so they contain
// neither "/" nor "@".
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// ValidName reports whether s is a valid name of a record or a version.
func ValidName(s string) bool { return namePattern.MatchString(s) }
