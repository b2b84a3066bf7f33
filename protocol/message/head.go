package message

import "amaranthtide"

// Head begins the answer of a stream.
type Head struct {
	Attempt string  `msgpack:"attempt"`
	Server  string  `msgpack:"server"`
	Status  uint16  `msgpack:"status"`
	Header  []Field `msgpack:"header"`
}

// NewHead returns the wire form of h.
func NewHead(h amaranthtide.AnswerHead) *Head {
	return &Head{
		Attempt: string(h.Attempt), Server: string(h.Server),
		Status: uint16(min(max(h.Status, 0), 999)), Header: newFields(h.Header),
	}
}

// Root returns the head.
func (m *Head) Root() amaranthtide.AnswerHead {
	return amaranthtide.AnswerHead{
		Attempt: amaranthtide.AttemptID(m.Attempt), Server: amaranthtide.BackendServerName(m.Server),
		Status: int(m.Status), Header: domainFields(m.Header),
	}
}

func (m *Head) check() error {
	if err := checkNames(m.Attempt, m.Server); err != nil {
		return err
	}
	return checkHeader(m.Header)
}
