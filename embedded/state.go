package embedded

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"hyssoploom/config"
)

// WaitReady waits until every entry is linked to every agent and sees all model
// versions of the engines as served.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for {
		if f.ready() {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "fleet is not ready")
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (f *Fleet) ready() bool {
	for _, e := range f.Entries {
		if !e.Entry.HasLinks(len(f.Backends)) {
			return false
		}
		for _, b := range f.Backends {
			for _, p := range b.Spec.Serves {
				if !e.Entry.Serving(p.Model, p.Version) {
					return false
				}
			}
		}
	}
	return true
}

// ConfigApplied reports whether every running daemon has applied the latest
// records in the store.
func (f *Fleet) ConfigApplied() bool {
	newest := uint64(0)
	for _, prefix := range config.Prefixes() {
		kvs, _, err := f.Store.List(context.Background(), prefix)
		if err != nil {
			return false
		}
		for _, kv := range kvs {
			newest = max(newest, kv.Revision)
		}
	}
	for _, e := range f.Entries {
		if e.run.running() && e.Entry.Revision() < newest {
			return false
		}
	}
	for _, b := range f.Backends {
		if b.run.running() && b.Agent.Revision() < newest {
			return false
		}
	}
	return true
}
