package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

// Answer is what a client saw of one request.
type Answer struct {
	Status int // 0 if the connection ended before a head
	Header http.Header
	Body   []byte
	// Err is set if the answer is incomplete.
	Err error
	// Retry tells that the connection can carry another request.
	Kept bool
}

// Conn is a client's kept connection to a router.
type Conn struct {
	net.Conn
	r *bufio.Reader
}

// Dial opens a connection.
func Dial(addr string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{c, bufio.NewReader(c)}, nil
}

// Do sends one request and reads its answer.
func (c *Conn) Do(message []byte, timeout time.Duration) Answer {
	_ = c.SetDeadline(time.Now().Add(timeout))
	if _, err := c.Write(message); err != nil {
		return Answer{Err: err}
	}
	return c.Read(http.MethodPost)
}

// Read reads one answer.
func (c *Conn) Read(method string) Answer {
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Err: err, Kept: err == nil && !resp.Close}
}

// String describes the answer in one line.
func (a Answer) String() string {
	switch {
	case a.Status == 0 && (errors.Is(a.Err, io.EOF) || errors.Is(a.Err, io.ErrUnexpectedEOF) || errors.Is(a.Err, syscall.ECONNRESET)):
		return fmt.Sprintf("no answer, the connection was closed (%v)", a.Err)
	case a.Status == 0 && errors.Is(a.Err, os.ErrDeadlineExceeded):
		return "no answer in time"
	case a.Err != nil:
		return fmt.Sprintf("incomplete answer: %d, %d bytes, %v", a.Status, len(a.Body), a.Err)
	}
	return fmt.Sprintf("%d, stamp %q, %d bytes", a.Status, a.Header.Get(Names.Stamp), len(a.Body))
}

// ClosedWithoutAnswer reports whether the connection ended before anything of the answer came.
func (a Answer) ClosedWithoutAnswer() bool {
	return a.Status == 0 && a.Err != nil && !errors.Is(a.Err, os.ErrDeadlineExceeded)
}

// Promise reports whether the answer promises that the request has not run and never will.
func (a Answer) Promise() bool {
	switch a.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return a.Err == nil
	}
	return false
}
