package mesh_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthtide"
	"amaranthtide/protocol/frame"
	"amaranthtide/protocol/message"
	"amaranthtide/transport/mesh"
)

// answerInChunks answers with the body of the request. The bytes of the chat give the
// chunk sizes: each is one more than the square of a byte, so that some exceed the window.
func answerInChunks(ctx context.Context, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
	if err := w.Head(amaranthtide.AnswerHead{Attempt: req.Attempt, Server: "engine", Status: 200}); err != nil {
		return err
	}
	body := req.Body
	for i := 0; len(body) > 0; i++ {
		step := int(req.Chat[i%len(req.Chat)])
		n := min(step*step+1, len(body))
		if err := w.Chunk(body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return ctx.Err()
}

func randomBody(n int, seed uint64) []byte {
	r := rand.New(rand.NewPCG(seed, 1))
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	return b
}

// Guards against bytes that are lost, duplicated or mixed up between streams, for any
// chunk sizes, reader speeds and windows.
func TestAnswersAreCompleteForAnyChunking(t *testing.T) {
	owner := newMesh(t, mesh.Options{Owner: ownerFunc(answerInChunks)})
	entries := []*mesh.Mesh{newMesh(t, mesh.Options{}), newMesh(t, mesh.Options{Window: 3000, SendBuffer: 4096})}
	rapid.Check(t, func(t *rapid.T) {
		entry := rapid.SampledFrom(entries).Draw(t, "entry")
		var wg sync.WaitGroup
		failures := make(chan string, 24)
		for i := range rapid.IntRange(1, 24).Draw(t, "streams") {
			body := randomBody(rapid.SampledFrom([]int{0, 1, 20, 3000, 70_000}).Draw(t, "size"), uint64(i))
			req := newRequest("", body)
			for _, step := range rapid.SliceOfN(rapid.IntRange(0, 255), 1, 4).Draw(t, "steps") {
				req.Chat += amaranthtide.ChatID([]byte{byte(step)})
			}
			slow := rapid.IntRange(0, 9).Draw(t, "slow") == 0
			wg.Add(1)
			go func() {
				defer wg.Done()
				got := &recordedAnswer{}
				if slow {
					got.onChunk = func([]byte) error { time.Sleep(50 * time.Microsecond); return nil }
				}
				err := entry.Forward(context.Background(), owner.Addr(), "engine", req, got)
				if err != nil || got.head.Attempt != req.Attempt || !bytes.Equal(got.bytes(), body) {
					failures <- fmt.Sprintf("got: %v and %d bytes for %q, want: %d bytes for %q", err, len(got.bytes()), got.head.Attempt, len(body), req.Attempt)
				}
			}()
		}
		wg.Wait()
		if len(failures) > 0 {
			t.Fatal(<-failures)
		}
	})
}

// Guards against errors of the owner that lose their kind and against answers without a
// head.
func TestOwnerErrorsKeepTheirKind(t *testing.T) {
	is := is.New(t)
	owner := newMesh(t, mesh.Options{Owner: ownerFunc(func(_ context.Context, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
		if req.Chat == "silent" {
			return nil
		}
		_ = echo(context.Background(), req, w)
		return amaranthtide.Errorf(amaranthtide.KindTruncated, "engine stopped")
	})})
	entry := newMesh(t, mesh.Options{})
	ctx := testContext(t)
	got := &recordedAnswer{}
	err := entry.Forward(ctx, owner.Addr(), "engine", newRequest("", []byte("part")), got)
	wantKind(t, err, amaranthtide.KindTruncated)
	is.Equal(string(got.bytes()), "part")
	wantKind(t, entry.Forward(ctx, owner.Addr(), "other", newRequest("", nil), got), amaranthtide.KindNotOwner)
	req := newRequest("", nil)
	req.Chat = "silent"
	wantKind(t, entry.Forward(ctx, owner.Addr(), "engine", req, got), amaranthtide.KindInternal)
	wantKind(t, entry.Forward(ctx, owner.Addr(), "engine", newRequest("", make([]byte, message.MaxBody+1)), got), amaranthtide.KindTooLarge)
	wantKind(t, owner.Forward(ctx, entry.Addr(), "engine", newRequest("", nil), got), amaranthtide.KindNotOwner)
}

// Guards against a slow reader that makes the owner or the entry buffer without bound or
// that blocks other streams.
func TestSlowReadersUseBoundedMemory(t *testing.T) {
	const streams, size = 100, 1 << 20
	var produced atomic.Int64
	chunk := make([]byte, 1000)
	owner := newMesh(t, mesh.Options{Owner: ownerFunc(func(ctx context.Context, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
		if req.Chat == "quick" {
			return echo(ctx, req, w)
		}
		err := w.Head(amaranthtide.AnswerHead{Attempt: req.Attempt})
		for n := 0; n < size && err == nil; n += len(chunk) {
			if err = w.Chunk(chunk); err == nil {
				produced.Add(int64(len(chunk)))
			}
		}
		return err
	})})
	entry := newMesh(t, mesh.Options{})
	before := heapInUse()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			wantKind(t, entry.Forward(ctx, owner.Addr(), "engine", newRequest("", nil), &recordedAnswer{onChunk: func([]byte) error {
				<-ctx.Done()
				return ctx.Err()
			}}), amaranthtide.KindCanceled)
		}()
	}
	last := int64(-1)
	eventually(t, "stalled", func() bool {
		time.Sleep(50 * time.Millisecond)
		n := produced.Load()
		stalled := n > 0 && n == last
		last = n
		return stalled
	})
	if got := produced.Load(); got > streams*mesh.DefaultWindow {
		t.Errorf("got: %d bytes ahead, want: at most %d", got, streams*mesh.DefaultWindow)
	}
	used := (heapInUse() - before) / streams
	t.Logf("memory per stream that waits for its reader: %d bytes", used)
	if used > 64<<10 {
		t.Errorf("got: %d bytes per slow stream, want: at most 64 KiB", used)
	}
	quick := newRequest("", []byte("q"))
	quick.Chat = "quick"
	if err := entry.Forward(testContext(t), owner.Addr(), "engine", quick, &recordedAnswer{}); err != nil {
		t.Errorf("got: %v, want: an answer while other streams are blocked", err)
	}
	cancel()
	wg.Wait()
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// Guards against a truncated answer that is reported as complete and against
// KindNoBackend for a request that ran, when the connection is lost at any byte.
func TestErrorKindAfterConnectionLoss(t *testing.T) {
	var ran sync.Map
	owner := newMesh(t, mesh.Options{Owner: ownerFunc(func(ctx context.Context, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
		ran.Store(req.Attempt, true)
		return answerInChunks(ctx, req, w)
	})})
	seen := map[amaranthtide.Kind]int{}
	rapid.Check(t, func(t *rapid.T) {
		dialer := newFaultyDialer()
		entry, err := mesh.New(mesh.Options{FleetKey: fleetKey, Dialer: dialer.dial, BackoffMin: time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = entry.Close() }()
		if rapid.Bool().Draw(t, "limitWrites") {
			dialer.writeLimit.Store(rapid.Int64Range(0, 12_000).Draw(t, "written"))
		} else {
			dialer.readLimit.Store(rapid.Int64Range(0, 30_000).Draw(t, "read"))
		}
		type outcome struct {
			req *amaranthtide.Request
			got recordedAnswer
			err error
		}
		outcomes := make([]outcome, rapid.IntRange(1, 4).Draw(t, "streams"))
		var wg sync.WaitGroup
		for i := range outcomes {
			o := &outcomes[i]
			o.req = newRequest(rapid.SampledFrom([]amaranthtide.IdempotencyKey{"", "key"}).Draw(t, "key"), randomBody(300, uint64(i)))
			o.req.Chat = "\x03"
			if rapid.Bool().Draw(t, "long") {
				o.req.Body, o.req.Chat = randomBody(9000, uint64(i)), "\x1f\x05"
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				o.err = entry.Forward(context.Background(), owner.Addr(), "engine", o.req, &o.got)
			}()
		}
		wg.Wait()
		for i := range outcomes {
			o := &outcomes[i]
			kind, body := amaranthtide.KindOf(o.err), o.got.bytes()
			seen[kind]++
			switch {
			case o.err == nil && !bytes.Equal(body, o.req.Body):
				t.Fatalf("got: %d bytes and no error, want: %d bytes", len(body), len(o.req.Body))
			case o.err != nil && !bytes.HasPrefix(o.req.Body, body):
				t.Fatalf("got: bytes that the owner did not send before %v", o.err)
			case o.err == nil, kind == amaranthtide.KindNoBackend,
				kind == amaranthtide.KindBackendFailed && o.req.Repeatable(),
				kind == amaranthtide.KindOutcomeUnknown && !o.req.Repeatable():
			default:
				t.Fatalf("got: %v for repeatable %v, want: another kind", o.err, o.req.Repeatable())
			}
			if kind == amaranthtide.KindNoBackend {
				time.Sleep(2 * time.Millisecond) // lets a run that was wrongly started be recorded
				if _, ok := ran.Load(o.req.Attempt); ok {
					t.Fatalf("got: %v for a request that ran", o.err)
				}
			}
		}
		dialer.writeLimit.Store(-1)
		dialer.readLimit.Store(-1)
		// The next dial waits for the current backoff, which doubled with each failed
		// dial up to the default of Options.BackoffMax.
		const backoffMax = 2 * time.Second
		for until := time.Now().Add(backoffMax + time.Second); time.Now().Before(until); {
			if err = entry.Forward(context.Background(), owner.Addr(), "engine", func() *amaranthtide.Request {
				r := newRequest("", []byte("again"))
				r.Chat = "\x01"
				return r
			}(), &recordedAnswer{}); err == nil {
				return
			}
			time.Sleep(2 * time.Millisecond)
		}
		t.Fatalf("got: %v, want: a new connection after the loss", err)
	})
	t.Logf("outcomes: %v", seen)
	for _, k := range []amaranthtide.Kind{0, amaranthtide.KindNoBackend, amaranthtide.KindBackendFailed, amaranthtide.KindOutcomeUnknown} {
		if seen[k] == 0 {
			t.Errorf("got: no outcome %d, want: each at least once", k)
		}
	}
}

// Guards against a request that is reported as run or unknown although the connection
// was lost before its forward frame was written completely.
func TestPartialForwardIsNotRun(t *testing.T) {
	var runs atomic.Int64
	owner := newMesh(t, mesh.Options{Owner: ownerFunc(func(ctx context.Context, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
		runs.Add(1)
		return echo(ctx, req, w)
	})})
	for _, limit := range []int64{1000, 10_000, 20_000} { // the handshake takes less than 200 bytes
		for _, key := range []amaranthtide.IdempotencyKey{"", "key"} {
			dialer := newFaultyDialer()
			dialer.writeLimit.Store(limit)
			entry := newMesh(t, mesh.Options{Dialer: dialer.dial})
			err := entry.Forward(testContext(t), owner.Addr(), "engine", newRequest(key, make([]byte, 20_000)), &recordedAnswer{})
			wantKind(t, err, amaranthtide.KindNoBackend)
		}
	}
	if n := runs.Load(); n > 0 {
		t.Errorf("got: %d runs, want: none", n)
	}
}

// Guards against repeatable work that continues after its caller disconnected, and
// against work that is not repeatable and is canceled halfway.
func TestCancelAndConnectionLossReachOwner(t *testing.T) {
	type outcome struct{ ctx, write error }
	tests := []struct {
		name       string
		key        amaranthtide.IdempotencyKey
		disconnect bool
		kind       amaranthtide.Kind
		canceled   bool
	}{
		{"cancel of a repeatable request", "", false, amaranthtide.KindCanceled, true},
		{"connection loss of a repeatable request", "", true, amaranthtide.KindBackendFailed, true},
		{"cancel of a non-repeatable request", "key", false, amaranthtide.KindCanceled, false},
		{"connection loss of a non-repeatable request", "key", true, amaranthtide.KindOutcomeUnknown, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			outcomes := make(chan outcome, 1)
			owner := newMesh(t, mesh.Options{Owner: ownerFunc(func(ctx context.Context, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
				_ = w.Head(amaranthtide.AnswerHead{Attempt: req.Attempt})
				var o outcome
				// Exceeds the window, so that a writer that is not woken blocks here.
				for i := 0; i < 100 && o.write == nil; i++ {
					o.write = w.Chunk(make([]byte, 1000))
				}
				select {
				case <-ctx.Done():
				case <-time.After(100 * time.Millisecond):
				}
				o.ctx = ctx.Err()
				outcomes <- o
				return o.write
			})})
			dialer := newFaultyDialer()
			entry := newMesh(t, mesh.Options{Dialer: dialer.dial})
			ctx, cancel := context.WithCancel(testContext(t))
			var once sync.Once
			err := entry.Forward(ctx, owner.Addr(), "engine", newRequest(tt.key, nil), &recordedAnswer{onChunk: func([]byte) error {
				once.Do(func() {
					if tt.disconnect {
						dialer.forEachConn(func(c *faultyConn) { _ = c.Close() })
						return
					}
					cancel()
				})
				time.Sleep(5 * time.Millisecond)
				return ctx.Err()
			}})
			cancel()
			wantKind(t, err, tt.kind)
			select {
			case o := <-outcomes:
				is.Equal(o.ctx != nil, tt.canceled)
				is.Equal(o.write != nil, tt.canceled)
			case <-time.After(3 * time.Second):
				t.Fatal("got: a serving goroutine that is blocked, want: its end")
			}
		})
	}
}

// Guards against a request that is reported as run or unknown although it was never
// sent, and against waiting longer than the context.
func TestErrorKindOfUnsentRequest(t *testing.T) {
	dialer := newFaultyDialer()
	dialer.refuse.Store(true)
	entry := newMesh(t, mesh.Options{Dialer: dialer.dial, BackoffMin: 20 * time.Millisecond})
	peer := newMesh(t, mesh.Options{Owner: ownerFunc(echo)})
	ctx := testContext(t)
	for range 3 {
		wantKind(t, entry.Forward(ctx, peer.Addr(), "engine", newRequest("key", nil), &recordedAnswer{}), amaranthtide.KindNoBackend)
	}
	dialer.refuse.Store(false)
	eventually(t, "reached", func() bool {
		return entry.Forward(ctx, peer.Addr(), "engine", newRequest("key", nil), &recordedAnswer{}) == nil
	})
	canceled, cancel := context.WithCancel(ctx)
	cancel()
	wantKind(t, entry.Forward(canceled, peer.Addr(), "engine", newRequest("key", nil), &recordedAnswer{}), amaranthtide.KindCanceled)
	late, cancel := context.WithDeadline(ctx, time.Now().Add(-time.Second))
	defer cancel()
	wantKind(t, entry.Forward(late, peer.Addr(), "engine", newRequest("key", nil), &recordedAnswer{}), amaranthtide.KindDeadlineUnmet)
}

// Guards against accepting the answer of another attempt, an incomplete answer, an answer
// that exceeds its window and frames of ended streams.
func TestInvalidAnswers(t *testing.T) {
	end := func(n uint64) *message.End { return message.NewEnd(n, nil) }
	tests := []struct {
		name   string
		answer func(p *rawPeer, stream uint64, attempt string)
		kind   amaranthtide.Kind
		body   string
	}{
		{"head of another attempt", func(p *rawPeer, s uint64, _ string) {
			p.send(s, frame.Head, &message.Head{Attempt: "another"})
			p.sendRaw(s, frame.Chunk, message.AppendChunk(nil, 0, []byte("x")))
			p.send(s, frame.End, end(1))
		}, amaranthtide.KindInternal, ""},
		{"lost chunk", func(p *rawPeer, s uint64, a string) {
			p.send(s, frame.Head, &message.Head{Attempt: a})
			p.sendRaw(s, frame.Chunk, message.AppendChunk(nil, 1, []byte("x")))
			p.send(s, frame.End, end(2))
		}, amaranthtide.KindInternal, ""},
		{"lost last chunk", func(p *rawPeer, s uint64, a string) {
			p.send(s, frame.Head, &message.Head{Attempt: a})
			p.sendRaw(s, frame.Chunk, message.AppendChunk(nil, 0, []byte("x")))
			p.send(s, frame.End, end(2))
		}, amaranthtide.KindInternal, "x"},
		{"no head", func(p *rawPeer, s uint64, _ string) { p.send(s, frame.End, end(0)) }, amaranthtide.KindInternal, ""},
		{"beyond the window", func(p *rawPeer, s uint64, a string) {
			p.send(s, frame.Head, &message.Head{Attempt: a})
			for i := range uint64(3) {
				p.sendRaw(s, frame.Chunk, message.AppendChunk(nil, i*message.MaxChunk, make([]byte, message.MaxChunk)))
			}
		}, amaranthtide.KindInternal, "*"},
		{"duplicated frames", func(p *rawPeer, s uint64, a string) {
			for range 2 {
				p.send(s, frame.Head, &message.Head{Attempt: a})
				p.sendRaw(s, frame.Chunk, message.AppendChunk(nil, 0, []byte("x")))
			}
			p.sendRaw(s, frame.Chunk, message.AppendChunk(nil, 1, []byte("y")))
			for range 2 {
				p.send(s, frame.End, end(2))
			}
		}, 0, "xy"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			addr, peers := rawListen(t, fleetKey)
			entry := newMesh(t, mesh.Options{})
			go func() {
				p := <-peers
				for range 2 {
					var m message.Forward
					s := p.receive(frame.Forward, &m)
					if s == 2 { // Late frames of the first stream must not reach the second.
						tt.answer(p, 1, m.Attempt)
						p.send(s, frame.Head, &message.Head{Attempt: m.Attempt})
						p.send(s, frame.End, end(0))
						return
					}
					tt.answer(p, s, m.Attempt)
				}
			}()
			got := &recordedAnswer{}
			if tt.body == "*" {
				got.onChunk = func([]byte) error { time.Sleep(20 * time.Millisecond); return nil }
			}
			err := entry.Forward(testContext(t), addr, "engine", newRequest("", nil), got)
			if amaranthtide.KindOf(err) != tt.kind || tt.body != "*" && string(got.bytes()) != tt.body {
				t.Errorf("got: %v and %q, want: %s and %q", err, got.bytes(), tt.kind, tt.body)
			}
			got = &recordedAnswer{}
			if err := entry.Forward(testContext(t), addr, "engine", newRequest("", nil), got); err != nil || len(got.bytes()) > 0 {
				t.Errorf("got: %v and %q, want: an empty answer", err, got.bytes())
			}
			eventually(t, "counted late", func() bool { return entry.Stats().LateFrames > 0 })
		})
	}
}

// Guards against a request that runs twice because its forward frame arrives twice.
func TestRepeatedForwardRunsOnce(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	owner := newMesh(t, mesh.Options{MaxStreams: 2, Owner: ownerFunc(func(ctx context.Context, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
		runs.Add(1)
		if req.Chat == "long" {
			<-ctx.Done()
		}
		return echo(ctx, req, w)
	})})
	p := rawDial(t, owner, fleetKey)
	forward := message.NewForward(time.Now(), "engine", newRequest("key", nil), 100)
	for range 3 {
		p.send(7, frame.Forward, forward)
	}
	var end message.End
	is.Equal(p.receive(frame.End, &end), uint64(7))
	is.NoErr(end.Err())
	p.send(7, frame.Forward, forward) // the stream has already ended
	p.send(5, frame.Forward, forward)
	p.sendRaw(8, frame.Forward, []byte("no msgpack"))
	end = message.End{}
	is.Equal(p.receive(frame.End, &end), uint64(8))
	is.True(amaranthtide.IsKind(end.Err(), amaranthtide.KindBadRequest))
	is.Equal(runs.Load(), int64(1))

	forward.Chat, forward.Key = "long", ""
	for stream := range uint64(3) {
		p.send(9+stream, frame.Forward, forward)
	}
	end = message.End{}
	is.Equal(p.receive(frame.End, &end), uint64(11))
	is.True(amaranthtide.IsKind(end.Err(), amaranthtide.KindFull))
}

// Guards against unbounded memory for a peer that stops reading: the streams stay
// within their windows, but Options.SendBuffer must limit what they queue together.
func TestStalledConnectionUsesBoundedMemory(t *testing.T) {
	const streams, socketBuffers, limit = 800, 8 << 20, 64 << 10
	var produced atomic.Int64
	owner := newMesh(t, mesh.Options{SendBuffer: limit, PeerTimeout: time.Minute, Owner: ownerFunc(func(_ context.Context, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
		err := w.Head(amaranthtide.AnswerHead{Attempt: req.Attempt})
		for err == nil {
			if err = w.Chunk(make([]byte, 1000)); err == nil {
				produced.Add(1000)
			}
		}
		return err
	})})
	p := rawDial(t, owner, fleetKey)
	var welcome message.Welcome
	p.receive(frame.Welcome, &welcome)
	_ = p.conn.(*net.TCPConn).SetReadBuffer(4096)
	for i := range uint64(streams) {
		p.send(i+1, frame.Forward, message.NewForward(time.Now(), "engine", newRequest("", nil), mesh.DefaultWindow))
	}
	time.Sleep(300 * time.Millisecond)
	got := produced.Load()
	t.Logf("%d bytes queued, sum of the windows: %d", got, streams*mesh.DefaultWindow)
	if got > socketBuffers+4*limit {
		t.Errorf("got: %d bytes queued, want: at most %d", got, socketBuffers+4*limit)
	}
}
