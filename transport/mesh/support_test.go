package mesh_test

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/protocol/frame"
	"amaranthtide/protocol/message"
	"amaranthtide/transport/mesh"
)

var fleetKey = []byte("a fleet key of a good length")

// ownerFunc is an Owner that calls the function for requests to the server "engine".
type ownerFunc func(ctx context.Context, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error

func (f ownerFunc) Serve(ctx context.Context, server amaranthtide.BackendServerName, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
	if server != "engine" {
		return amaranthtide.Errorf(amaranthtide.KindNotOwner, "server %s", server)
	}
	return f(ctx, req, w)
}

// echo answers with the body in one chunk.
func echo(_ context.Context, req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
	if err := w.Head(amaranthtide.AnswerHead{Attempt: req.Attempt, Server: "engine", Status: 200}); err != nil {
		return err
	}
	return w.Chunk(req.Body)
}

// recordedAnswer is an AnswerWriter that stores the answer.
type recordedAnswer struct {
	mu      sync.Mutex
	head    amaranthtide.AnswerHead
	body    bytes.Buffer
	onChunk func(b []byte) error // called before each chunk is stored; optional
}

func (a *recordedAnswer) Head(h amaranthtide.AnswerHead) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = h
	return nil
}

func (a *recordedAnswer) Chunk(b []byte) error {
	if a.onChunk != nil {
		if err := a.onChunk(b); err != nil {
			return err
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.body.Write(b)
	return nil
}

func (a *recordedAnswer) bytes() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	return bytes.Clone(a.body.Bytes())
}

func newMesh(t testing.TB, opts mesh.Options) *mesh.Mesh {
	t.Helper()
	if opts.FleetKey == nil {
		opts.FleetKey = fleetKey
	}
	m, err := mesh.New(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = m.Close() })
	return m
}

func newRequest(key amaranthtide.IdempotencyKey, body []byte) *amaranthtide.Request {
	return &amaranthtide.Request{
		ID: amaranthtide.NewRequestID(), Attempt: amaranthtide.NewAttemptID(), Workspace: "club", Chat: "chat",
		Model: "model", Weight: 1, Cost: 1, Key: key, Body: body, Deadline: time.Now().Add(time.Minute),
	}
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// eventually waits up to 5 s until f returns true. The description completes the failure
// message.
func eventually(t testing.TB, description string, f func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("got: never %s, want: within 5 s", description)
}

func wantKind(t testing.TB, err error, kinds ...amaranthtide.Kind) {
	t.Helper()
	for _, k := range kinds {
		if amaranthtide.IsKind(err, k) {
			return
		}
	}
	t.Errorf("got: %s (%v), want: %v", amaranthtide.KindOf(err), err, kinds)
}

// wantGoroutines waits until no more than n goroutines run.
func wantGoroutines(t testing.TB, n int) {
	t.Helper()
	for deadline := time.Now().Add(3 * time.Second); runtime.NumGoroutine() > n; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			buf := make([]byte, 1<<16)
			t.Fatalf("got: %d goroutines, want: at most %d\n%s", runtime.NumGoroutine(), n, buf[:runtime.Stack(buf, true)])
		}
	}
}

// faultyDialer dials connections that fail after a number of bytes or freeze.
type faultyDialer struct {
	writeLimit, readLimit atomic.Int64 // bytes left until the failure; negative for none
	mu                    sync.Mutex
	conns                 []*faultyConn
	refuse                atomic.Bool
}

func newFaultyDialer() *faultyDialer {
	d := &faultyDialer{}
	d.writeLimit.Store(-1)
	d.readLimit.Store(-1)
	return d
}

var errInjected = errors.New("injected connection failure")

func (d *faultyDialer) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	if d.refuse.Load() {
		return nil, errInjected
	}
	var nd net.Dialer
	raw, err := nd.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	c := &faultyConn{Conn: raw, dialer: d}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns = append(d.conns, c)
	return c, nil
}

func (d *faultyDialer) forEachConn(f func(c *faultyConn)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		f(c)
	}
}

type faultyConn struct {
	net.Conn
	dialer        *faultyDialer
	discardWrites atomic.Bool
}

func (c *faultyConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if left := c.dialer.readLimit.Load(); left >= 0 && err == nil {
		if int64(n) >= left {
			_ = c.Close()
			n, err = int(left), errInjected
		}
		c.dialer.readLimit.CompareAndSwap(left, max(left-int64(n), 0)) // a test may have reset the limit in the meantime
	}
	return n, err
}

func (c *faultyConn) Write(b []byte) (int, error) {
	if c.discardWrites.Load() {
		return len(b), nil // discards the bytes without an error
	}
	left := c.dialer.writeLimit.Load()
	if left < 0 || int64(len(b)) < left {
		if left >= 0 {
			c.dialer.writeLimit.CompareAndSwap(left, left-int64(len(b)))
		}
		return c.Conn.Write(b)
	}
	n, _ := c.Conn.Write(b[:left])
	c.dialer.writeLimit.CompareAndSwap(left, 0)
	_ = c.Close()
	return n, errInjected
}

// rawPeer implements the protocol without a Mesh, to send frames that a Mesh never sends.
type rawPeer struct {
	t     testing.TB
	conn  net.Conn
	codec *frame.Reader
}

func rawMAC(key []byte, role string, parts ...[]byte) []byte {
	h := hmac.New(sha256.New, key)
	for _, p := range append([][]byte{[]byte(role)}, parts...) {
		h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(p))))
		h.Write(p)
	}
	return h.Sum(nil)
}

func newRawPeer(t testing.TB, conn net.Conn) *rawPeer {
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
	return &rawPeer{t, conn, frame.NewReader(conn)}
}

// rawDial opens a connection to m and performs the handshake of the dialling side.
func rawDial(t testing.TB, m *mesh.Mesh, key []byte) *rawPeer {
	conn, err := net.Dial("tcp", m.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	p := newRawPeer(t, conn)
	var challenge message.Challenge
	p.receive(frame.Challenge, &challenge)
	proof := message.NewProof(make([]byte, message.NonceSize), netip.MustParseAddrPort("127.0.0.1:9"))
	proof.MAC = rawMAC(key, "amaranthtide dialler", challenge.Nonce, proof.Nonce, proof.Address)
	p.send(0, frame.Proof, proof)
	return p
}

// rawListen listens as a router without a Mesh. It returns the address and a channel that
// receives the first connection after its handshake.
func rawListen(t testing.TB, key []byte) (netip.AddrPort, <-chan *rawPeer) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	peers := make(chan *rawPeer, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		peers <- rawAccept(t, key, conn)
	}()
	return l.Addr().(*net.TCPAddr).AddrPort(), peers
}

// rawAccept performs the handshake of the accepting side.
func rawAccept(t testing.TB, key []byte, conn net.Conn) *rawPeer {
	p := newRawPeer(t, conn)
	challenge := &message.Challenge{Version: 1, Nonce: make([]byte, message.NonceSize)}
	p.send(0, frame.Challenge, challenge)
	var proof message.Proof
	p.receive(frame.Proof, &proof)
	p.send(0, frame.Welcome, &message.Welcome{MAC: rawMAC(key, "amaranthtide accepter", proof.Nonce, challenge.Nonce)})
	return p
}

func (p *rawPeer) send(stream uint64, typ frame.Type, m message.Message) {
	payload, err := message.Append(nil, m)
	if err != nil {
		p.t.Error(err)
	}
	p.sendRaw(stream, typ, payload)
}

func (p *rawPeer) sendRaw(stream uint64, typ frame.Type, payload []byte) {
	_, _ = p.conn.Write(frame.Append(nil, frame.Frame{Stream: stream, Type: typ, Payload: payload}))
}

// receive waits for a frame of the given type, decodes it and returns its stream.
func (p *rawPeer) receive(typ frame.Type, m message.Message) uint64 {
	for {
		f, err := p.codec.Next()
		if err != nil {
			p.t.Errorf("got: %v, want: a %s frame", err, typ)
			return 0
		}
		if f.Type == typ {
			if err := message.Decode(f.Payload, m); err != nil {
				p.t.Error(err)
			}
			return f.Stream
		}
	}
}

func wantErrorText(is *is.I, err error, text string) {
	is.Helper()
	is.True(err != nil && strings.Contains(err.Error(), text))
}
