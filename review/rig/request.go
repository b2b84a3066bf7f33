package rig

import (
	"bytes"
	"cmp"
	"fmt"
	"net/http"
	"time"
)

// Request is a client's request.
type Request struct {
	// Method is POST if it is empty.
	Method   string
	Path, ID string
	Deadline time.Duration
	// Prompt and Tokens describe the prompt of a request to a model server; empty without one.
	Prompt, Tokens string
	Body           string
	// Key is the tenant's key; empty means the constant Key.
	Key string
}

// Encode returns the request as an HTTP/1.1 message.
func (r Request) Encode() []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + 512)
	method := cmp.Or(r.Method, http.MethodPost)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n", method, r.Path, Host, r.ID)
	if r.Prompt != "" {
		fmt.Fprintf(&b, "Model: m\r\n%s: %s\r\n%s: %s\r\n", Names.Tokens, r.Tokens, Names.Prompt, r.Prompt)
	}
	fmt.Fprintf(&b, "Deadline-Ms: %d\r\nCredential: %s\r\n", r.Deadline.Milliseconds(), cmp.Or(r.Key, Key))
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.WriteString(r.Body)
	return b.Bytes()
}
