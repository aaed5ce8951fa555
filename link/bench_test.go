package link

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// benchLoad returns a load report with nine loaded versions, the number expected
// in the largest deployment.
func benchLoad() *LoadReport {
	load := &LoadReport{Running: 40, Queued: 3, Limit: 64, FirstToken: 180 * time.Millisecond, Resumes: true}
	for i := range 9 {
		load.Loaded = append(load.Loaded, fmt.Sprintf("chat-large@2026.%d", i))
	}
	return load
}

// benchFrameCodec encodes and decodes one frame per operation.
func benchFrameCodec(b *testing.B, add func(w *frameWriter)) {
	w, r := newFrameWriter(), newFrameReader(nil)
	var f frame
	b.ReportAllocs()
	for b.Loop() {
		w.buf = w.buf[:0]
		add(w)
		if err := w.end(); err != nil {
			b.Fatal(err)
		}
		if err := r.decode(w.body(), &f); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(w.buf)), "wire-B/op")
}

var benchKey = streamKey{"01K0ZV5T8E9M3Q4R5S6T7V8W9X", 1}

func BenchmarkHeartbeat(b *testing.B) {
	entry := Heartbeat{Clock: 100 * time.Hour, Revision: 1 << 20, Digest: 1 << 63}
	agent := entry
	agent.Load = benchLoad()
	for name, hb := range map[string]*Heartbeat{"entry": &entry, "agent": &agent} {
		b.Run(name, func(b *testing.B) {
			benchFrameCodec(b, func(w *frameWriter) { w.begin(kindHeartbeat, 1); w.value(hb) })
		})
	}
}

func BenchmarkFrame(b *testing.B) {
	for _, size := range []int{8, 200, 64 << 10} {
		payload := bytes.Repeat([]byte{'x'}, size)
		b.Run(fmt.Sprint("payload=", size), func(b *testing.B) {
			benchFrameCodec(b, func(w *frameWriter) { w.beginStream(kindPayload, benchKey, 2); w.uint(200); w.bin(payload) })
		})
	}
	b.Run("ack", func(b *testing.B) {
		benchFrameCodec(b, func(w *frameWriter) { w.beginStream(kindAck, benchKey, 1); w.uint(200) })
	})
	end := End{Complete: true, TokensIn: 800, TokensOut: 256, FinishReason: "stop", Charge: make([]byte, 150), Frames: 256, Checksum: 1 << 63}
	b.Run("end", func(b *testing.B) {
		benchFrameCodec(b, func(w *frameWriter) { w.beginStream(kindEnd, benchKey, 2); w.uint(256); w.value(&end) })
	})
}

// countingConn counts the bytes that it reads and writes.
type countingConn struct {
	net.Conn
	read, written *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// newBenchLink returns a client that connects to a server over loopback TCP, and
// counters of the bytes that the client reads and writes.
func newBenchLink(b *testing.B, handler func(context.Context, *ServerStream)) (c *Client, read, written *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	read, written = new(atomic.Int64), new(atomic.Int64)
	ctx, cancel := context.WithCancel(b.Context())
	s := NewServer(ServerConfig{Hello: Hello{Name: "gpu-1", BootID: "a1"}, FleetKey: testKey, Logger: discardLogger, Handler: handler})
	c = NewClient(ClientConfig{Addr: l.Addr().String(), Hello: Hello{Name: "entry-1", BootID: "e1"}, FleetKey: testKey, Logger: discardLogger,
		OpenTimeout: 5 * time.Second,
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			nc, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
			return countingConn{nc, read, written}, err
		}})
	done := make(chan error, 2)
	go func() { done <- s.Serve(ctx, l) }()
	go func() { done <- c.Serve(ctx) }()
	b.Cleanup(func() { cancel(); <-done; <-done })
	return c, read, written
}

func benchAnswer(tokens int) func(context.Context, *ServerStream) {
	payload := bytes.Repeat([]byte{'x'}, 200) // an SSE event of one token
	return func(ctx context.Context, in *ServerStream) {
		for range tokens {
			if in.Send(ctx, payload) != nil {
				return
			}
		}
		_ = in.Finish(End{Complete: true, TokensOut: int64(tokens)})
	}
}

func benchRequest(ctx context.Context, c *Client, id string, tokens int) error {
	s, err := c.Open(ctx, &Request{Kind: KindChat, RequestID: id, Workspace: "ws", Model: "chat-large", Version: "2026.1", Body: make([]byte, 1<<10)})
	if err != nil {
		return err
	}
	for range tokens {
		if _, err := s.Recv(ctx); err != nil {
			return err
		}
	}
	if _, err := s.Recv(ctx); err != io.EOF {
		return fmt.Errorf("after %d payloads: %w", tokens, err)
	}
	return nil
}

// BenchmarkStream measures complete requests over one loopback link, sequentially
// and with 100 concurrent requests.
func BenchmarkStream(b *testing.B) {
	for _, tokens := range []int{1, 256} {
		for _, parallel := range []int{1, 100} {
			b.Run(fmt.Sprintf("tokens=%d/parallel=%d", tokens, parallel), func(b *testing.B) {
				benchStreams(b, tokens, parallel)
			})
		}
	}
}

func benchStreams(b *testing.B, tokens, parallel int) {
	c, read, written := newBenchLink(b, benchAnswer(tokens))
	if err := benchRequest(b.Context(), c, "warm-up", tokens); err != nil {
		b.Fatal(err)
	}
	var next atomic.Int64
	errs := make(chan error, parallel)
	b.ReportAllocs()
	read.Store(0)
	written.Store(0)
	b.ResetTimer()
	for range parallel {
		go func() {
			var err error
			for err == nil {
				n := next.Add(1)
				if n > int64(b.N) {
					break
				}
				err = benchRequest(b.Context(), c, fmt.Sprintf("01K0ZV5T8E9M3Q4R%010d", n), tokens)
			}
			errs <- err
		}()
	}
	for range parallel {
		if err := <-errs; err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64(read.Load())/float64(b.N), "wire-in-B/op")
	b.ReportMetric(float64(written.Load())/float64(b.N), "wire-out-B/op")
}

// BenchmarkStreamPaced measures CPU time when each token is written separately: 200
// streams over one link, with one token per stream every 4 ms. The CPU time includes
// both ends, which run in this process.
func BenchmarkStreamPaced(b *testing.B) {
	const streams, tokens, interval = 200, 256, 4 * time.Millisecond
	c, _, _ := newBenchLink(b, func(ctx context.Context, in *ServerStream) {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		payload := bytes.Repeat([]byte{'x'}, 200)
		for range tokens {
			<-tick.C
			if in.Send(ctx, payload) != nil {
				return
			}
		}
		_ = in.Finish(End{Complete: true})
	})
	before, rounds := cpuTime(b), 0
	for b.Loop() {
		rounds++
		errs := make(chan error, streams)
		for i := range streams {
			go func() { errs <- benchRequest(b.Context(), c, fmt.Sprintf("01K0ZV5T8E9M3Q%05d%05d", rounds, i), tokens) }()
		}
		for range streams {
			if err := <-errs; err != nil {
				b.Fatal(err)
			}
		}
	}
	used := cpuTime(b) - before
	b.ReportMetric(float64(used.Nanoseconds())/float64(rounds*streams*tokens), "cpu-ns/frame")
	b.ReportMetric(float64(used.Microseconds())/float64(rounds*streams), "cpu-us/stream")
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkStreamMemory measures the heap of both ends per open stream, without an
// answer and with a full window of unread payloads.
func BenchmarkStreamMemory(b *testing.B) {
	const streams = 500
	for name, payloads := range map[string]int{"idle": 0, "unread": 400} {
		b.Run(name, func(b *testing.B) {
			c, _, _ := newBenchLink(b, func(ctx context.Context, in *ServerStream) {
				for range payloads {
					if in.Send(ctx, make([]byte, 200)) != nil {
						return
					}
				}
				<-ctx.Done()
			})
			if err := benchOpen(b, c, "warm-up"); err != nil {
				b.Fatal(err)
			}
			before, opened := heapBytes(), 0
			for b.Loop() { // the streams stay open
				for range streams {
					opened++
					if err := benchOpen(b, c, fmt.Sprint("r", opened)); err != nil {
						b.Fatal(err)
					}
				}
				time.Sleep(200 * time.Millisecond)
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(opened), "heap-B/stream")
		})
	}
}

func benchOpen(b *testing.B, c *Client, id string) error {
	_, err := c.Open(b.Context(), &Request{Kind: KindChat, RequestID: id, Body: make([]byte, 1<<10)})
	return err
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
