// Package completion parses the chat completion API of the model engines: streams of
// server-sent events, and the parts of request bodies that routing needs.
//
// # Usage
//
// A Scanner finds the ends of events in a stream that arrives in pieces, without
// copying whole events:
//
//	var s completion.Scanner
//	for !s.Done() {
//		n, err := body.Read(buf)
//		end, scanErr := s.Scan(buf[:n]) // buf[:end] ends with a whole event
//		...
//	}
//
// ParseRequest parses a request body:
//
//	req, err := completion.ParseRequest(body) // an error is KindBadRequest
//	chat := req.DerivedChat()
package completion

import (
	"bytes"
	"strconv"

	"amaranthtide"
)

// MaxLine is the longest line of an event stream, in bytes.
const MaxLine = 1 << 20

var (
	doneData      = []byte("[DONE]")
	byteOrderMark = []byte("\ufeff")
)

// Scanner finds the ends of server-sent events in a stream that is split at arbitrary
// positions. It follows the event stream format of the HTML standard: lines end with
// LF, CR or CRLF, and an event ends with an empty line. The zero value is ready to
// use. A Scanner is not safe for concurrent use.
type Scanner struct {
	// line holds the start of a line whose end has not arrived yet.
	line []byte
	// id and lastID are the identifiers of the current event and of the last complete
	// event.
	id, lastID []byte
	// dataLines is the number of data lines of the current event, and terminal reports
	// whether the last of them is "[DONE]".
	dataLines int
	terminal  bool
	done      bool
	// fields is the number of lines of the current event that are not comments, and
	// identified reports whether one of them sets its identifier.
	fields     int
	identified bool
	// resumed is set once the stream was continued on another connection.
	resumed bool
	// skipLF is set after a CR, whose line end may include a following LF.
	skipLF bool
	// started is set after the first line, which may begin with a byte order mark.
	started bool
}

// Scan processes the next piece of the stream. It returns the number of bytes up to
// the end of the last event that ends in p, or 0 if no event ends in p. The bytes after
// it belong to an incomplete event, or are the LF of a CRLF that was split between two
// pieces. Scan stops after the terminal event. Errors are of KindBackendFailed: a line that
// exceeds MaxLine and, after Resume, an event that doesn't continue the stream, since it has
// no identifier or one that is not after the last one. The returned end is valid in that
// case, too.
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
		if len(line) == 0 && s.resumed && !s.continues() {
			return end, amaranthtide.Errorf(amaranthtide.KindBackendFailed, "event with identifier %q after %q in a resumed stream", s.id, s.lastID)
		}
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

// LastID returns the identifier of the last complete event. It is empty if no event
// had one.
func (s *Scanner) LastID() string { return string(s.lastID) }

// Resume discards the incomplete event. The next piece must be the start of a new
// connection, which sends the events after LastID.
func (s *Scanner) Resume() {
	s.line = s.line[:0]
	s.id = append(s.id[:0], s.lastID...)
	s.dataLines, s.terminal, s.skipLF, s.started = 0, false, false, false
	s.fields, s.identified, s.resumed = 0, false, true
}

// continues reports whether the event that ends now may follow the last one. A server may
// ignore the identifier after which it should go on, or answer with something else than the
// stream.
func (s *Scanner) continues() bool {
	if s.fields == 0 || len(s.lastID) == 0 {
		return true
	}
	if !s.identified {
		return false
	}
	id, err := strconv.ParseUint(string(s.id), 10, 64)
	lastID, lastErr := strconv.ParseUint(string(s.lastID), 10, 64)
	return err != nil || lastErr != nil || id > lastID
}

// processLine processes a line without its line end and reports whether it ends an event.
func (s *Scanner) processLine(line []byte) bool {
	if !s.started {
		s.started = true
		line = bytes.TrimPrefix(line, byteOrderMark)
	}
	if len(line) == 0 {
		s.done = s.terminal && s.dataLines == 1
		s.dataLines, s.terminal = 0, false
		s.fields, s.identified = 0, false
		s.lastID = append(s.lastID[:0], s.id...)
		return true
	}
	if line[0] != ':' {
		s.fields++
	}
	// Checking the first byte and the field name avoids a search for the colon in every
	// line.
	switch line[0] {
	case 'd':
		if v, ok := fieldValue(line, "data"); ok {
			s.dataLines++
			s.terminal = bytes.Equal(v, doneData)
		}
	case 'i':
		if v, ok := fieldValue(line, "id"); ok && bytes.IndexByte(v, 0) < 0 {
			s.id = append(s.id[:0], v...)
			s.identified = true
		}
	}
	return false
}

// fieldValue returns the value of line and true if line is a field with the given name.
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

// lineEnd returns the index of the first CR or LF in p, or -1.
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
