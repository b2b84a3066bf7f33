package mesh_test

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"amaranthtide"
	"amaranthtide/transport/mesh"
)

// discardWriter is an AnswerWriter that discards the answer.
type discardWriter struct{}

func (discardWriter) Head(amaranthtide.AnswerHead) error { return nil }
func (discardWriter) Chunk([]byte) error                 { return nil }

// BenchmarkForwardChunks measures chunks of 20 bytes through both ends of a
// connection in one process. One operation is one chunk.
func BenchmarkForwardChunks(b *testing.B) {
	chunk := make([]byte, 20)
	for _, streams := range []int{1, 64, 1000} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			perStream := b.N/streams + 1
			owner := newMesh(b, mesh.Options{Owner: ownerFunc(func(_ context.Context, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
				err := w.Head(amaranthtide.AnswerHead{Attempt: req.Attempt})
				for i := 0; i < perStream && err == nil; i++ {
					err = w.Chunk(chunk)
				}
				return err
			})})
			entry := newMesh(b, mesh.Options{})
			forwardConcurrently(b, entry, owner, 1)
			b.ReportAllocs()
			b.ResetTimer()
			forwardConcurrently(b, entry, owner, streams)
			b.StopTimer()
			b.ReportMetric(float64(perStream*streams)/b.Elapsed().Seconds(), "chunks/s")
		})
	}
}

func forwardConcurrently(b *testing.B, entry, owner *mesh.Mesh, streams int) {
	var wg sync.WaitGroup
	for range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := entry.Forward(context.Background(), owner.Addr(), "engine", newRequest("", nil), discardWriter{}); err != nil {
				b.Error(err)
			}
		}()
	}
	wg.Wait()
}

// BenchmarkForwardPacedChunks measures the time and allocations per chunk when 1000
// streams get one chunk at a time in turn, as engines produce them.
func BenchmarkForwardPacedChunks(b *testing.B) {
	const streams = 1000
	chunk := make([]byte, 20)
	steps := make([]chan struct{}, streams)
	for i := range steps {
		steps[i] = make(chan struct{}, 1)
	}
	var mu sync.Mutex
	next := 0
	owner := newMesh(b, mesh.Options{Owner: ownerFunc(func(_ context.Context, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
		mu.Lock()
		step := steps[next]
		next++
		mu.Unlock()
		err := w.Head(amaranthtide.AnswerHead{Attempt: req.Attempt})
		for range step {
			if err == nil {
				err = w.Chunk(chunk)
			}
		}
		return err
	})})
	entry := newMesh(b, mesh.Options{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		forwardConcurrently(b, entry, owner, streams)
	}()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		steps[i%streams] <- struct{}{}
	}
	for _, s := range steps {
		close(s)
	}
	wg.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "chunks/s")
}

// BenchmarkForwardLatency measures one forwarded request with an answer of one
// chunk on an idle pair of routers.
func BenchmarkForwardLatency(b *testing.B) {
	owner := newMesh(b, mesh.Options{Owner: ownerFunc(echo)})
	entry := newMesh(b, mesh.Options{})
	forwardConcurrently(b, entry, owner, 1)
	times := make([]time.Duration, 0, b.N)
	body := make([]byte, 1000)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		began := time.Now()
		if err := entry.Forward(context.Background(), owner.Addr(), "engine", newRequest("", body), discardWriter{}); err != nil {
			b.Fatal(err)
		}
		times = append(times, time.Since(began))
	}
	b.StopTimer()
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Nanoseconds())/1000, "median-us")
	b.ReportMetric(float64(times[len(times)*99/100].Nanoseconds())/1000, "p99-us")
}

// BenchmarkIdleStreams measures the memory per stream that waits for its answer, both
// ends together, including goroutine stacks and the goroutine that calls Forward.
func BenchmarkIdleStreams(b *testing.B) {
	const streams = 5000
	for range b.N {
		owner := newMesh(b, mesh.Options{Owner: ownerFunc(func(ctx context.Context, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
			if req.Key == "" {
				return echo(ctx, req, w)
			}
			<-ctx.Done()
			return ctx.Err()
		})})
		entry := newMesh(b, mesh.Options{})
		forwardConcurrently(b, entry, owner, 1)
		before := heapInUse()
		var wg sync.WaitGroup
		for range streams {
			wg.Add(1)
			go func() {
				defer wg.Done()
				_ = entry.Forward(context.Background(), owner.Addr(), "engine", newRequest("key", nil), discardWriter{})
			}()
		}
		eventually(b, "open", func() bool { return owner.Stats().ForwardReceived.Frames >= streams })
		time.Sleep(50 * time.Millisecond)
		b.ReportMetric(float64(heapInUse()-before)/streams, "B/stream")
		runtime.KeepAlive(entry)
		_ = owner.Close()
		wg.Wait()
	}
}
