// Package completion reads chat completions as the model engines exchange them:
// streams of server-sent events and the parts of request bodies that routing needs.
//
// # Usage
//
// A Scanner finds the ends of events in a stream that arrives in pieces, without
// a copy of the events:
//
//	var s completion.Scanner
//	for !s.Done() {
//		n, err := body.Read(buf)
//		end, scanErr := s.Scan(buf[:n]) // buf[:end] ends with a whole event
//		...
//	}
//
// Parse reads a request body:
//
//	req, err := completion.Parse(body) // an error is KindBadRequest
//	chat := req.DerivedChat()
package completion

import (
	"bytes"

	"amaranthtide"
)

// MaxLine bounds one line of an event stream.
const MaxLine = 1 << 20

var (
	doneData      = []byte("[DONE]")
	byteOrderMark = []byte("\ufeff")
)

// Scanner finds the ends of server-sent events over arbitrary boundaries between
// pieces. It follows the event stream format of the HTML standard: lines end with
// LF, CR or CRLF, and an event ends with an empty line. The zero value is ready. It
// is not concurrent-safe.
type Scanner struct {
	// line holds the begin of a line whose end has not arrived.
	line []byte
	// id and lastID are the identifiers of the event in progress and of the last
	// whole event.
	id, lastID []byte
	dataLines  int
	terminal   bool
	done       bool
	skipLF     bool
	started    bool
}

// Scan takes the next piece of the stream. It returns the number of bytes of p up
// to the end of the last whole event in p, or 0 if no event ends in p. The bytes
// after it belong to an event in progress, or are the LF of a CRLF that was cut in
// two. Scan stops after the terminal event. It
// returns KindBackendFailed if a line exceeds MaxLine.
func (s *Scanner) Scan(p []byte) (int, error) {
	end := 0
	for pos := 0; pos < len(p) && !s.done; {
		if s.skipLF {
			s.skipLF = false
			if p[pos] == '\n' {
				pos++
				continue
			}
		}
		rest := p[pos:]
		i := lineEnd(rest)
		if i < 0 {
			if len(s.line)+len(rest) > MaxLine {
				return end, lineTooLongError()
			}
			s.line = append(s.line, rest...)
			return end, nil
		}
		if len(s.line)+i > MaxLine {
			return end, lineTooLongError()
		}
		line := rest[:i]
		if len(s.line) > 0 {
			s.line = append(s.line, line...)
			line = s.line
		}
		pos += i + 1
		s.skipLF = rest[i] == '\r'
		if s.processLine(line) {
			if s.skipLF && pos < len(p) && p[pos] == '\n' {
				s.skipLF = false
				pos++
			}
			end = pos
		}
		s.line = s.line[:0]
	}
	return end, nil
}

// Done reports whether the terminal event "data: [DONE]" was found.
func (s *Scanner) Done() bool { return s.done }

// LastID returns the identifier of the last whole event; empty if none had one.
func (s *Scanner) LastID() string { return string(s.lastID) }

// Resume discards the event in progress. The next piece begins a new connection
// that sends the events after LastID.
func (s *Scanner) Resume() {
	s.line = s.line[:0]
	s.id = append(s.id[:0], s.lastID...)
	s.dataLines, s.terminal, s.skipLF, s.started = 0, false, false, false
}

// processLine takes one line without its end and reports whether it ends an event.
func (s *Scanner) processLine(line []byte) bool {
	if !s.started {
		s.started = true
		line = bytes.TrimPrefix(line, byteOrderMark)
	}
	if len(line) == 0 {
		s.done = s.terminal && s.dataLines == 1
		s.dataLines, s.terminal = 0, false
		s.lastID = append(s.lastID[:0], s.id...)
		return true
	}
	// Comparing the first byte spares the search for the colon in most lines.
	switch line[0] {
	case 'd':
		if v, ok := fieldValue(line, "data"); ok {
			s.dataLines++
			s.terminal = bytes.Equal(v, doneData)
		}
	case 'i':
		if v, ok := fieldValue(line, "id"); ok && bytes.IndexByte(v, 0) < 0 {
			s.id = append(s.id[:0], v...)
		}
	}
	return false
}

// fieldValue returns the value of a line of the named field.
func fieldValue(line []byte, name string) ([]byte, bool) {
	if len(line) < len(name) || string(line[:len(name)]) != name {
		return nil, false
	}
	v := line[len(name):]
	if len(v) == 0 {
		return v, true
	}
	if v[0] != ':' {
		return nil, false
	}
	return bytes.TrimPrefix(v[1:], []byte{' '}), true
}

func lineEnd(p []byte) int {
	lf := bytes.IndexByte(p, '\n')
	if lf >= 0 {
		p = p[:lf]
	}
	if cr := bytes.IndexByte(p, '\r'); cr >= 0 {
		return cr
	}
	return lf
}

func lineTooLongError() error {
	return amaranthtide.Errorf(amaranthtide.KindBackendFailed, "event stream: line longer than %d bytes", MaxLine)
}
