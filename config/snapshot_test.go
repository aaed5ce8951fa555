package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func mustEncode(t testing.TB, e Envelope) []byte {
	t.Helper()
	b, err := Encode(e)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// dataCentre returns a record of a data centre whose region is the revision that
// wrote it.
func dataCentre(t testing.TB, name string, revision uint64) Record {
	t.Helper()
	return Record{Key: Key(KindDataCentre, name), Revision: revision, Raw: mustEncode(t, Envelope{SchemaVersion: 1, Kind: KindDataCentre, Name: name,
		Writer: "w", Spec: &DataCentre{Region: fmt.Sprint(revision), State: DataCentreIn}})}
}

// unknownSchema returns a record of a data centre with a schema version that this
// build does not know.
func unknownSchema(t testing.TB, name string, revision uint64) Record {
	r := dataCentre(t, name, revision)
	r.Raw = []byte(strings.Replace(string(r.Raw), `"schema_version":1`, `"schema_version":99`, 1))
	return r
}

// withoutRemoved returns the records of keys that the store still has.
func withoutRemoved(records []Record) []Record {
	return slices.DeleteFunc(records, func(r Record) bool { return len(r.Raw) == 0 })
}

func tombstone(t testing.TB, name string, revision uint64) Record {
	return Record{Key: Key(KindDataCentre, name), Revision: revision,
		Raw: mustEncode(t, Envelope{SchemaVersion: 1, Kind: KindDataCentre, Name: name, Deleted: true})}
}

// history holds the events of a store, one per revision.
type history struct {
	events []Record
	lists  [][]Record // lists[i] is the store's content at revision i+1
}

const (
	historyKeys = 3
	historyOps  = 5
)

func newHistory(t testing.TB, ops []int) history {
	var h history
	content := map[string]Record{}
	for i, op := range ops {
		name, rev := string(rune('a'+op%historyKeys)), uint64(i+1)
		r := dataCentre(t, name, rev)
		switch op / historyKeys {
		case 1:
			r = unknownSchema(t, name, rev)
		case 2:
			r = tombstone(t, name, rev)
		case 3:
			r.Raw = nil // removed from the store
		}
		content[r.Key] = r
		if r.Raw == nil {
			delete(content, r.Key)
		}
		var list []Record
		for _, c := range content {
			list = append(list, c)
		}
		h.events, h.lists = append(h.events, r), append(h.lists, list)
	}
	return h
}

// deliver applies message m to a snapshot: an event, or a list at some revision.
func (h history) deliver(s *Snapshot, m int) {
	i := m / 2 % len(h.events)
	if m%2 == 0 {
		s.Apply(h.events[i : i+1])
	} else {
		s.ApplyList(h.lists[i], uint64(i+1))
	}
}

// regions maps each data centre in force to the revision that wrote it.
func regions(v *View) map[string]string {
	out := map[string]string{}
	for name, d := range v.DataCentres {
		out[name] = d.Region
	}
	return out
}

func sameContent(a, b *Snapshot) bool {
	return cmp.Equal(a.Records(), b.Records(), cmpopts.EquateEmpty()) && a.Digest() == b.Digest() && a.Revision() == b.Revision() &&
		cmp.Equal(regions(a.View()), regions(b.View())) && cmp.Equal(a.View().Problems, b.View().Problems, cmpopts.EquateEmpty())
}

// Guards against snapshots that depend on the order, duplication or loss of
// messages, and against records that are replaced by older ones.
func TestMergeProperties(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(1)
	params.MinSuccessfulTests, params.MaxSize = 300, 25
	ops := gen.SliceOf(gen.IntRange(0, historyKeys*historyOps-1)).SuchThat(func(v []int) bool { return len(v) > 0 })
	messages := gen.SliceOf(gen.IntRange(0, 1000))
	properties := gopter.NewProperties(params)

	properties.Property("events merge to the same snapshot in any order", prop.ForAll(
		func(ops, order []int) bool {
			h := newHistory(t, ops)
			inOrder, shuffled := NewSnapshot(), NewSnapshot()
			inOrder.Apply(h.events)
			for _, m := range order {
				shuffled.Apply(h.events[m%len(h.events):])
				shuffled.Apply(h.events[:m%len(h.events)])
			}
			for i := range h.events {
				shuffled.Apply(h.events[len(h.events)-1-i:][:1])
			}
			return sameContent(inOrder, shuffled)
		}, ops, messages))

	properties.Property("the revision of a key never decreases", prop.ForAll(
		func(ops, order []int) bool {
			h, s := newHistory(t, ops), NewSnapshot()
			seen := map[string]uint64{}
			for _, m := range order {
				h.deliver(s, m)
				for _, r := range s.Records() {
					if newest, _ := s.Get(r.Key); newest.Revision < seen[r.Key] {
						return false
					}
					seen[r.Key] = max(seen[r.Key], r.Revision)
				}
			}
			return true
		}, ops, messages))

	properties.Property("after a list, digests are equal if and only if the records are, and an exchange makes both equal", prop.ForAll(
		func(ops, orderA, orderB []int) bool {
			h, a, b := newHistory(t, ops), NewSnapshot(), NewSnapshot()
			for _, m := range orderA {
				h.deliver(a, m)
			}
			for _, m := range orderB {
				h.deliver(b, m)
			}
			last := len(h.lists) - 1
			a.ApplyList(h.lists[last], uint64(last+1))
			b.ApplyList(h.lists[last], uint64(last+1))
			// The digest includes fallbacks, which one side may never have received.
			if (a.Digest() == b.Digest()) != cmp.Equal(withoutRemoved(a.Records()), withoutRemoved(b.Records()), cmpopts.EquateEmpty()) {
				return false
			}
			a.Apply(b.Records())
			b.Apply(a.Records())
			return a.Digest() == b.Digest() && cmp.Equal(regions(a.View()), regions(b.View())) && cmp.Equal(a.View().Problems, b.View().Problems, cmpopts.EquateEmpty())
		}, ops, messages, messages))

	properties.TestingRun(t)
}

// Guards against a deleted record that a stale peer restores: the process was
// restarted, listed the store after the deletion, and never received the record.
func TestStalePeerAfterList(t *testing.T) {
	fresh, stale := NewSnapshot(), NewSnapshot()
	stale.Apply([]Record{dataCentre(t, "a", 5)})
	fresh.ApplyList([]Record{dataCentre(t, "b", 7)}, 9)
	applied := fresh.Apply(stale.Records())
	if len(fresh.View().DataCentres) != 1 || len(applied) != 1 || len(applied[0].Raw) != 0 {
		t.Fatalf("deleted record was restored: %v, applied %v", regions(fresh.View()), applied)
	}
	stale.Apply(fresh.Records())
	if !cmp.Equal(regions(stale.View()), map[string]string{"b": "7"}) || stale.Digest() != fresh.Digest() {
		t.Fatalf("stale peer has %v", regions(stale.View()))
	}
}

// Guards against an outdated list, of the store or a peer, that reverts or deletes
// newer records which a restarted process has received.
func TestStaleList(t *testing.T) {
	s := NewSnapshot()
	s.Apply([]Record{dataCentre(t, "a", 3), tombstone(t, "b", 4), dataCentre(t, "c", 6)}) // from peers
	s.ApplyList([]Record{dataCentre(t, "a", 1), dataCentre(t, "b", 2)}, 5)
	if got, want := regions(s.View()), map[string]string{"a": "3", "c": "6"}; !cmp.Equal(got, want) {
		t.Fatalf("in force: %v, want %v", got, want)
	}
	s.ApplyList([]Record{dataCentre(t, "c", 6)}, 8)
	if r, ok := s.Get(Key(KindDataCentre, "a")); !ok || r.Revision != 8 || len(r.Raw) != 0 {
		t.Fatalf("record that is missing in the list is %+v, want a tombstone at 8", r)
	}
}

// Guards against a record that cannot be decoded but takes effect or removes the
// last usable one, and against a quarantine that is lost because it cannot be
// decoded.
func TestUnknownSchemaKeepsLastGood(t *testing.T) {
	s := NewSnapshot()
	changed := s.Changed()
	s.Apply([]Record{dataCentre(t, "a", 3), unknownSchema(t, "a", 5)})
	<-changed
	v := s.View()
	want := []Problem{{Key: "config/data_centre/a", Revision: 5, InForceRevision: 3, UnknownSchema: true,
		Reason: `unknown schema version 99 of kind "data_centre"`}}
	if !cmp.Equal(v.Problems, want) || v.Revision != 5 || v.RecordRevision(KindDataCentre, "a") != 3 {
		t.Fatalf("view has %+v", v)
	}
	s.Apply([]Record{{Key: QuarantineKey("m", "1"), Revision: 8, Raw: []byte(`{"schema_version":7,"kind":"quarantine","name":"m/1"}`)}})
	if !s.View().Quarantined("m", "1") || s.View().QuarantineRevision("m", "1") != 8 {
		t.Fatal("a quarantine that cannot be decoded is not in force")
	}
	s.Apply([]Record{{Key: QuarantineKey("m", "1"), Revision: 9, Raw: []byte(`{"deleted":true,"kind":"quarantine","name":"m/1"}`)}})
	if s.View().Quarantined("m", "1") || s.View().QuarantineRevision("m", "1") != 9 {
		t.Fatal("a lifted quarantine is in force")
	}
}

// Guards against a caller that is assigned to another workspace, and against
// permissions wider than granted.
func TestPermissions(t *testing.T) {
	sum := sha256.Sum256([]byte("secret"))
	shared := strings.Repeat("0", 64)
	workspace := func(name string, hashes ...string) Record {
		return Record{Key: Key(KindWorkspace, name), Revision: 1, Raw: mustEncode(t, Envelope{SchemaVersion: 1, Kind: KindWorkspace, Name: name,
			Spec: &Workspace{KeyHashes: hashes, Weight: 1, Allow: []ModelGrant{{Model: "m", Versions: []string{"1"}}, {Model: "n"}}}})}
	}
	s := NewSnapshot()
	s.Apply([]Record{workspace("a", hex.EncodeToString(sum[:]), shared), workspace("b", shared)})
	w, ok := s.View().WorkspaceByKey("secret")
	if !ok || w.Name != "a" {
		t.Fatalf("WorkspaceByKey = %v, %v; want a", w, ok)
	}
	if _, ok := s.View().byKeyHash[shared]; ok || len(s.View().Problems) != 2 {
		t.Fatalf("a hash of two workspaces identifies one; problems: %v", s.View().Problems)
	}
	for _, c := range []struct {
		model, version string
		want           bool
	}{{"m", "1", true}, {"m", "2", false}, {"n", "9", true}, {"o", "1", false}} {
		if w.Allows(c.model, c.version) != c.want {
			t.Errorf("Allows(%s, %s) is not %v", c.model, c.version, c.want)
		}
	}
}

// Guards against a process that never receives the fallback of a record that it
// cannot decode: it has the same newest records as its peers, so a digest of only
// the newest records would be equal to theirs.
func TestDigestIncludesFallback(t *testing.T) {
	known, unknown := dataCentre(t, "fyn", 3), unknownSchema(t, "fyn", 7)
	peer, restarted := NewSnapshot(), NewSnapshot()
	peer.Apply([]Record{known})
	peer.Apply([]Record{unknown})
	restarted.ApplyPrefixList(RecordPrefix, []Record{unknown}, 9)
	if peer.Digest() == restarted.Digest() {
		t.Fatal("snapshots with and without the fallback have the same digest")
	}
	restarted.Apply(peer.Records())
	if peer.Digest() != restarted.Digest() {
		t.Error("the digests differ although both hold the same records")
	}
	if restarted.View().DataCentres["fyn"] == nil {
		t.Error("the fallback is not in force")
	}
}
