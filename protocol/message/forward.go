package message

import (
	"time"

	"amaranthtide"
)

// Forward opens a stream and asks the owner of a server to run a request.
type Forward struct {
	Server    string `msgpack:"server"`
	ID        string `msgpack:"id"`
	Attempt   string `msgpack:"attempt"`
	Workspace string `msgpack:"workspace"`
	Chat      string `msgpack:"chat"`
	Model     string `msgpack:"model"`
	Route     string `msgpack:"route"`
	Class     string `msgpack:"class"`
	Weight    uint32 `msgpack:"weight"`
	Key       string `msgpack:"key"`
	Cost      uint32 `msgpack:"cost"`
	// RemainingMillis is the time until the deadline; 0 means no deadline.
	RemainingMillis uint32  `msgpack:"remainingMillis"`
	Stream          bool    `msgpack:"stream"`
	MayQueue        bool    `msgpack:"mayQueue"`
	Method          string  `msgpack:"method"`
	Path            string  `msgpack:"path"`
	Query           string  `msgpack:"query"`
	Header          []Field `msgpack:"header"`
	Body            []byte  `msgpack:"body"`
	// Window is the initial flow control window: the number of answer bytes that the
	// owner may send before it receives a Window message.
	Window uint32 `msgpack:"window"`
}

// Field is one field of an HTTP header.
type Field struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	Name  string
	Value string
}

// NewForward returns the message that forwards req to the owner of server. The
// remaining time is relative to now; a deadline in the past is sent as 1 ms, since
// 0 means no deadline. The message shares its body with req.
func NewForward(now time.Time, server amaranthtide.BackendServerName, req *amaranthtide.Request, window int) *Forward {
	m := &Forward{
		Server: string(server), ID: string(req.ID), Attempt: string(req.Attempt),
		Workspace: string(req.Workspace), Chat: string(req.Chat), Model: string(req.Model),
		Route: string(req.Route), Class: string(req.Class), Weight: clampCount(req.Weight),
		Key: string(req.Key), Cost: clampCount(req.Cost), Stream: req.Stream, MayQueue: req.MayQueue,
		Method: req.Method, Path: req.Path, Query: req.Query,
		Header: newFields(req.Header), Body: req.Body, Window: clampCount(window),
	}
	if !req.Deadline.IsZero() {
		m.RemainingMillis = max(1, ceilMillis(req.Deadline.Sub(now)))
	}
	return m
}

// ToDomain converts the message to the server and the request. The deadline of the
// request is relative to now.
func (m *Forward) ToDomain(now time.Time) (amaranthtide.BackendServerName, *amaranthtide.Request) {
	req := &amaranthtide.Request{
		ID: amaranthtide.RequestID(m.ID), Attempt: amaranthtide.AttemptID(m.Attempt),
		Workspace: amaranthtide.WorkspaceName(m.Workspace), Chat: amaranthtide.ChatID(m.Chat),
		Model: amaranthtide.ModelName(m.Model), Route: amaranthtide.RouteName(m.Route),
		Class: amaranthtide.Class(m.Class), Weight: int(m.Weight),
		Key: amaranthtide.IdempotencyKey(m.Key), Cost: int(m.Cost), Stream: m.Stream, MayQueue: m.MayQueue,
		Method: m.Method, Path: m.Path, Query: m.Query,
		Header: domainFields(m.Header), Body: m.Body,
	}
	if m.RemainingMillis > 0 {
		req.Deadline = now.Add(time.Duration(m.RemainingMillis) * time.Millisecond)
	}
	return amaranthtide.BackendServerName(m.Server), req
}

func (m *Forward) check() error {
	if len(m.Body) > MaxBody {
		return amaranthtide.Errorf(amaranthtide.KindTooLarge, "body size of %d bytes exceeds the limit of %d", len(m.Body), MaxBody)
	}
	if err := checkNames(m.Server, m.ID, m.Attempt, m.Workspace, m.Chat, m.Model, m.Route, m.Class, m.Key, m.Method); err != nil {
		return err
	}
	if err := checkLength("path", len(m.Path), MaxPath); err != nil {
		return err
	}
	if err := checkLength("query", len(m.Query), MaxPath); err != nil {
		return err
	}
	return checkHeader(m.Header)
}

func checkHeader(fields []Field) error {
	size := 0
	for _, f := range fields {
		size += len(f.Name) + len(f.Value)
	}
	if len(fields) > MaxHeaderFields || size > MaxHeader {
		return amaranthtide.Errorf(amaranthtide.KindTooLarge, "header of %d fields and %d bytes exceeds the limit of %d fields and %d bytes",
			len(fields), size, MaxHeaderFields, MaxHeader)
	}
	return nil
}

func newFields(header []amaranthtide.HeaderField) []Field {
	out := make([]Field, len(header))
	for i, f := range header {
		out[i] = Field{Name: f.Name, Value: f.Value}
	}
	return out
}

func domainFields(fields []Field) []amaranthtide.HeaderField {
	if len(fields) == 0 {
		return nil
	}
	out := make([]amaranthtide.HeaderField, len(fields))
	for i, f := range fields {
		out[i] = amaranthtide.HeaderField{Name: f.Name, Value: f.Value}
	}
	return out
}
