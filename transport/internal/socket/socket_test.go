package socket_test

import (
	"io"
	"net"
	"testing"
	"time"

	"amaranthtide/transport/internal/socket"
)

// Guards against treating a connection as idle although it has unread bytes, and as
// usable although the peer has closed it.
func TestPeek(t *testing.T) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := l.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	waitForState := func(want socket.State) {
		t.Helper()
		var got socket.State
		for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			if got = socket.Peek(c); got == want {
				return
			}
		}
		t.Fatalf("got: state %d, want: %d", got, want)
	}
	waitForState(socket.Empty)
	if _, err := io.WriteString(peer, "x"); err != nil {
		t.Fatal(err)
	}
	waitForState(socket.Readable)
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	waitForState(socket.Empty)
	_ = peer.Close()
	waitForState(socket.ClosedByPeer)
	_ = c.Close()
	waitForState(socket.Unknown)
}
