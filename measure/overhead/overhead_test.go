package overhead

import "testing"

// BenchmarkDirect sends requests directly to the stand-in engine.
func BenchmarkDirect(b *testing.B) {
	f := startFleet(b)
	l := runOpenLoop(b, f.Backends["small-1"].Server.URL(), `{"model":"small@1","stream":true,"messages":[{"role":"user","content":"hello"}]}`)
	l.report(b)
}

// BenchmarkPath sends the same requests through one entry and its agents.
func BenchmarkPath(b *testing.B) {
	f := startFleet(b)
	l := runOpenLoop(b, f.Entries["entry-1"].URL, `{"model":"small","stream":true,"messages":[{"role":"user","content":"hello"}]}`)
	l.report(b)
}
