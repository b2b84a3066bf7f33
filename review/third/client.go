package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const apiKey = "key-of-tenant-one"

var lastRequest atomic.Int64

// request is one client attempt.
type request struct {
	method, path string
	header       map[string]string
	body         []byte
	deadline     time.Duration
	onID         func(id string) // is called with the identifier before the request is sent; may be nil
}

// answer is what the client got; status 0 means none.
type answer struct {
	id     string
	status int
	stamp  string
	body   []byte
	err    error
	took   time.Duration
}

// newClients returns a client that keeps connections to a router.
func newClients() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true,
	}}
}

// send sends one client attempt to a router and records both ends of it.
func send(c *http.Client, rec *record, to *router, q request) answer {
	id := fmt.Sprintf("%016x", 0xa000000000000000+uint64(lastRequest.Add(1)))
	if q.onID != nil {
		q.onID(id)
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline+500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+to.frontAddr()+q.path, bytes.NewReader(q.body))
	if err != nil {
		return answer{id: id, err: err}
	}
	req.Host = "desk.example"
	req.Header.Set(hdrRequestID, id)
	req.Header.Set(hdrDeadline, fmt.Sprint(q.deadline.Milliseconds()))
	req.Header.Set("Credential", apiKey)
	for k, v := range q.header {
		req.Header.Set(k, v)
	}
	rec.add("client sends %s %s %s to %s", id, q.method, q.path, to.name)
	a := answer{id: id}
	resp, err := c.Do(req)
	if err == nil {
		a.status, a.stamp = resp.StatusCode, resp.Header.Get(hdrStamp)
		a.body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	a.err, a.took = err, time.Since(began)
	rec.add("client gets %s status %d, stamp %q, %d bytes, error %v, after %d ms", id, a.status, a.stamp, len(a.body), err, a.took.Milliseconds())
	return a
}
