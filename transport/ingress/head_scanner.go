package ingress

// headScanner counts the bytes and fields of a request's head as it arrives. The zero value
// is at the beginning of a head.
type headScanner struct {
	// inLine is set after the first byte of a line, ended after the empty line.
	inLine, ended bool
}

// scan returns the bytes and lines of b that belong to the head.
func (s *headScanner) scan(b []byte) (bytes, lines int) {
	for i, c := range b {
		switch {
		case s.ended:
			return i, lines
		case c == '\n' && !s.inLine:
			s.ended = true
		case c == '\n':
			s.inLine = false
			lines++
		case c != '\r':
			s.inLine = true
		}
	}
	return len(b), lines
}
