// Package logline parses the log lines of routers and collects those that concern one
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

// Field names in the log lines of routers.
const (
	fieldTime    = "@timestamp"
	fieldMessage = "@message"
	fieldLevel   = "@level"
	fieldModule  = "@module"
	fieldRequest = "request"
	fieldServer  = "server"
	fieldVM      = "vm"
)

// traceLeadTime is how long before the first line of a request a trace begins. The trace
// includes the state changes that the request's routers logged in that time.
const traceLeadTime = 5 * time.Second

// Line is a parsed log line.
type Line struct {
	Time    time.Time
	Level   string
	Message string
	VM      amaranthtide.VMName
	Request amaranthtide.RequestID
	Server  amaranthtide.BackendServerName
	// Fields holds the other fields, except for the module, with their values as text.
	Fields map[string]string
}

// Parse parses a line. Text before the first brace, such as the prefix of a log
// collector, is ignored.
func Parse(text []byte) (Line, error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, amaranthtide.Errorf(amaranthtide.KindBadRequest, "log line has no JSON object")
	}
	dec := json.NewDecoder(bytes.NewReader(text[start:]))
	dec.UseNumber()
	var fields map[string]any
	if err := dec.Decode(&fields); err != nil {
		return Line{}, amaranthtide.Errorf(amaranthtide.KindBadRequest, "parse log line: %w", err)
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
		return Line{}, amaranthtide.Errorf(amaranthtide.KindBadRequest, "parse time of log line: %w", err)
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

// String formats the line as readable text, without its time.
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

// Trace returns the lines of a request, together with the lines without a request that
// its routers logged shortly before or during it: those about one of its servers and
// those about no server, such as changes of the configuration, the feed or the router
// itself. The lines are sorted by time. Trace returns nil if the request has no lines.
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
