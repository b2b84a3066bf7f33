package deployment

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/standin/caller"
	"amaranthtide/standin/engine"
)

// Guards against a deployment that does not serve requests, and against replacements of
// engines and routers and zone moves that fail under load.
func TestDeployment(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := Demo()
	p.RoutersPerZone, p.Engines = 2, 6
	p.Engine = engine.Config{Capacity: 8, TokenInterval: 5 * time.Millisecond}
	p.Workspaces = []caller.Workspace{{Name: "w", ChatCallers: 8, QuickCallers: 2, ServiceCallers: 2}}
	p.Pause = 100 * time.Millisecond
	d, err := New(ctx, Config{Profile: p, Seed: 1})
	is.NoErr(err)
	defer d.Close()
	load := d.Load(4*time.Second, 1)
	ended := make(chan caller.Result, 1)
	go func() { ended <- load.Run(ctx) }()
	time.Sleep(time.Second)
	is.NoErr(d.ReplaceEngine(ctx, d.Engines()[0]))
	is.NoErr(d.SetZoneOutOfService(ctx, "b", true))
	is.NoErr(d.ReplaceRouter(ctx, d.Routers()[0]))
	is.NoErr(d.SetZoneOutOfService(ctx, "b", false))
	is.True(errors.Is(d.KillEngine("other"), errUnknownServer))
	r := <-ended
	t.Logf("%+v, skew %+v", r, d.Observer().Skew())
	is.True(r.Answered > 50)
	is.True(r.Passed())
	is.Equal(len(d.Routers()), 6)
	is.Equal(len(d.Engines()), 6)
	is.Equal(d.Observer().Skew().LateAdmissions, 0)
}

// Guards against delays and cuts between zones that have no effect.
func TestNetwork(t *testing.T) {
	is := is.New(t)
	const delay = 30 * time.Millisecond
	l, err := net.Listen("tcp", loopback.String())
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	n := newNetwork(delay)
	n.setZone(addrOf(l), "b")
	trip := func(from amaranthtide.ZoneName) (net.Conn, time.Duration) {
		c, err := n.dialer(from)(context.Background(), addrOf(l))
		is.NoErr(err)
		begin := time.Now()
		_, err = c.Write([]byte("x"))
		is.NoErr(err)
		_, err = io.ReadFull(c, make([]byte, 1))
		is.NoErr(err)
		return c, time.Since(begin)
	}
	near, took := trip("b")
	defer func() { _ = near.Close() }()
	is.True(took < 2*delay)
	far, took := trip("a")
	is.True(took >= 2*delay)
	is.NoErr(far.SetReadDeadline(time.Now().Add(time.Millisecond)))
	_, err = far.Read(make([]byte, 1))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))

	n.setCut("a", true)
	_, err = far.Write([]byte("x"))
	is.True(err != nil)
	_, err = n.dialer("a")(context.Background(), addrOf(l))
	is.True(errors.Is(err, errCut))
	n.setCut("a", false)
	far, _ = trip("a")
	is.NoErr(far.Close())
}
