package embedded

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io/fs"

	"hyssoploom/config"
	"hyssoploom/dialect"
	"hyssoploom/internal/uniqueid"
)

// Declarations returns the operator records of the embedded fleet. In their files,
// a key hash written as "@key" is replaced by the hash of that API key.
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

// HashAPIKey returns the hash of an API key as it is stored in records: SHA-256
// in hexadecimal.
func HashAPIKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Put writes an operator record, replacing an existing one.
func (f *Fleet) Put(ctx context.Context, kind config.Kind, name string, spec any) error {
	return PutRecord(ctx, f.Store, kind, name, spec)
}

// PutRecord writes an operator record to a store, replacing an existing one. It
// fails with a conflict if the record changes at the same time.
func PutRecord(ctx context.Context, store dialect.Store, kind config.Kind, name string, spec any) error {
	key := config.Key(kind, name)
	raw, err := config.Encode(config.Envelope{
		SchemaVersion: config.LatestSchema(kind), Kind: kind, Name: name,
		Writer: "embedded", ChangeID: uniqueid.New(), Spec: spec,
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
