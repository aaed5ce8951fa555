package embedded

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io/fs"

	"github.com/oklog/ulid/v2"

	"hyssoploom/config"
	"hyssoploom/dialect"
)

// Declarations returns the records of the embedded fleet. A key hash that is
// written "@key" stands for the digest of the key.
func Declarations() ([]config.Declaration, error) {
	files, err := fs.Sub(recordFiles, "records")
	if err != nil {
		return nil, err
	}
	decls, issues := config.LoadFS(keyHashFS{files})
	for _, issue := range issues {
		err = errors.Join(err, issue)
	}
	return decls, err
}

// HashAPIKey returns the form of an API key that records hold.
func HashAPIKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Put writes one operator record over whatever the store has.
func (f *Fleet) Put(ctx context.Context, kind config.Kind, name string, spec any) error {
	return PutRecord(ctx, f.Store, kind, name, spec)
}

// PutRecord writes one operator record over whatever the store has.
func PutRecord(ctx context.Context, store dialect.Store, kind config.Kind, name string, spec any) error {
	key := config.Key(kind, name)
	raw, err := config.Encode(config.Envelope{
		SchemaVersion: config.LatestSchema(kind), Kind: kind, Name: name,
		Writer: "embedded", ChangeID: ulid.Make().String(), Spec: spec,
	})
	if err != nil {
		return err
	}
	current, err := store.Get(ctx, key)
	if err != nil && !errors.Is(err, dialect.ErrNotFound) {
		return err
	}
	_, err = store.CompareAndSwap(ctx, dialect.Write{Key: key, Value: raw, ExpectedRevision: current.Revision})
	return err
}
