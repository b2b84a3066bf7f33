// Package misbehavior runs crowds of misbehaving clients against the programs of the fleet,
// which run as processes with little memory and few file descriptors.
//
// # Usage
//
//	p, err := misbehavior.Start(output, misbehavior.Limits{Descriptors: 500, MemoryBytes: 48 << 20}, program, args...)
//	if err != nil {
//		return err
//	}
//	defer p.Close()
//	c := misbehavior.NewCrowd(addr, 400, behave)
//	defer c.Close()
//	c.AwaitSent()
//	usage, err := p.Usage()
package misbehavior

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// writeTimeout ends a client whose input the program doesn't take.
	writeTimeout = 500 * time.Millisecond
	dialTimeout  = time.Second
)

// Client is one connection of a crowd.
type Client struct {
	net.Conn
	// Index is the number of the client in its crowd.
	Index int
	ctx   context.Context
}

// Send writes text and reports whether the program took all of it.
func (c *Client) Send(text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// SendSlowly writes text in pieces of n bytes, with a pause between them.
func (c *Client) SendSlowly(text string, n int, pause time.Duration) bool {
	for len(text) > 0 {
		piece := text[:min(n, len(text))]
		if !c.Send(piece) {
			return false
		}
		text = text[len(piece):]
		select {
		case <-c.ctx.Done():
			return false
		case <-time.After(pause):
		}
	}
	return true
}

// ReadSlowly reads a byte now and then until the crowd is closed.
func (c *Client) ReadSlowly(pause time.Duration) {
	var b [1]byte
	for c.ctx.Err() == nil {
		if _, err := c.Read(b[:]); err != nil {
			return
		}
		select {
		case <-c.ctx.Done():
		case <-time.After(pause):
		}
	}
}

// Crowd is a number of clients that call the same function at the same time and keep their
// connections open. Use NewCrowd.
type Crowd struct {
	addr   netip.AddrPort
	behave func(*Client)
	ctx    context.Context
	cancel context.CancelFunc
	sent   sync.WaitGroup
	ended  sync.WaitGroup
}

// NewCrowd starts n clients that call behave. A connection or write that the program refuses ends its
// client.
func NewCrowd(addr netip.AddrPort, n int, behave func(*Client)) *Crowd {
	c := &Crowd{addr: addr, behave: behave}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.sent.Add(n)
	for i := range n {
		c.ended.Go(func() { c.run(i) })
	}
	return c
}

func (c *Crowd) run(index int) {
	var once sync.Once
	sent := func() { once.Do(c.sent.Done) }
	defer sent()
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(c.ctx, "tcp", c.addr.String())
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(4 << 10) // what a client doesn't read stays at the program
	}
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	c.behave(&Client{Conn: conn, Index: index, ctx: c.ctx})
	sent()
	<-c.ctx.Done()
}

// AwaitSent waits until all clients have sent what they send. Their connections stay open.
func (c *Crowd) AwaitSent() { c.sent.Wait() }

// Close closes the connections and waits for the clients.
func (c *Crowd) Close() {
	c.cancel()
	c.ended.Wait()
}
