// Package logline reads the log lines of routers and finds what they tell of one
// request.
//
// # Usage
//
//	line, err := logline.Parse(text) // an error is KindBadRequest
//	trace := logline.Trace("9c41d07be2a35f68", lines)
package logline

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"amaranthtide"
)

// Names of fields that routers write.
const (
	fieldTime    = "@timestamp"
	fieldMessage = "@message"
	fieldLevel   = "@level"
	fieldModule  = "@module"
	fieldRequest = "request"
	fieldServer  = "server"
	fieldVM      = "vm"
)

// traceLeadTime is how long before and after a request the changes of what its routers
// believed are part of its trace.
const traceLeadTime = 5 * time.Second

// Line is one log line.
type Line struct {
	Time    time.Time
	Level   string
	Message string
	VM      amaranthtide.VMName
	Request amaranthtide.RequestID
	Server  amaranthtide.BackendServerName
	// Fields are the other fields, with their values as text.
	Fields map[string]string
}

// Parse reads a line. What stands before the first brace is skipped, such as the
// prefix of a log collector.
func Parse(text []byte) (Line, error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, amaranthtide.Errorf(amaranthtide.KindBadRequest, "no log line")
	}
	dec := json.NewDecoder(bytes.NewReader(text[start:]))
	dec.UseNumber()
	var fields map[string]any
	if err := dec.Decode(&fields); err != nil {
		return Line{}, amaranthtide.Errorf(amaranthtide.KindBadRequest, "log line: %w", err)
	}
	take := func(name string) string {
		v, ok := fields[name]
		delete(fields, name)
		if !ok || v == nil {
			return ""
		}
		return fmt.Sprint(v)
	}
	at, err := time.Parse(time.RFC3339Nano, take(fieldTime))
	if err != nil {
		return Line{}, amaranthtide.Errorf(amaranthtide.KindBadRequest, "log line: %w", err)
	}
	l := Line{
		Time: at, Level: take(fieldLevel), Message: take(fieldMessage), VM: amaranthtide.VMName(take(fieldVM)),
		Request: amaranthtide.RequestID(take(fieldRequest)), Server: amaranthtide.BackendServerName(take(fieldServer)),
		Fields: make(map[string]string, len(fields)),
	}
	delete(fields, fieldModule)
	for name := range fields {
		l.Fields[name] = fmt.Sprint(fields[name])
	}
	return l, nil
}

// String returns the line for people, without its time.
func (l Line) String() string {
	var b strings.Builder
	b.WriteString(l.Message)
	if l.Server != "" {
		fmt.Fprintf(&b, " server=%s", l.Server)
	}
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if v := l.Fields[name]; v != "" {
			fmt.Fprintf(&b, " %s=%s", name, v)
		}
	}
	return b.String()
}

// Trace returns the lines of a request in the order of their times, with the changes
// that its routers saw shortly before or during it: of its servers, of the
// configuration, the feed and the router itself.
func Trace(id amaranthtide.RequestID, lines []Line) []Line {
	var trace []Line
	servers := amaranthtide.NewSet[amaranthtide.BackendServerName]()
	routers := amaranthtide.NewSet[amaranthtide.VMName]()
	for _, l := range lines {
		if l.Request != id {
			continue
		}
		trace = append(trace, l)
		routers.Add(l.VM)
		if l.Server != "" {
			servers.Add(l.Server)
		}
	}
	if len(trace) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	from := slices.MinFunc(trace, byTime).Time.Add(-traceLeadTime)
	to := slices.MaxFunc(trace, byTime).Time
	for _, l := range lines {
		if l.Request != "" || !routers.Has(l.VM) || l.Time.Before(from) || l.Time.After(to) {
			continue
		}
		if l.Server == "" || servers.Has(l.Server) {
			trace = append(trace, l)
		}
	}
	slices.SortStableFunc(trace, byTime)
	return trace
}
