package message

import "amaranthtide"

// Head is the first message of an answer, with its status and header.
type Head struct {
	Attempt string  `msgpack:"attempt"`
	Server  string  `msgpack:"server"`
	Status  uint16  `msgpack:"status"`
	Header  []Field `msgpack:"header"`
}

// NewHead converts h to a message.
func NewHead(h amaranthtide.AnswerHead) *Head {
	return &Head{
		Attempt: string(h.Attempt), Server: string(h.Server),
		Status: uint16(min(max(h.Status, 0), 999)), Header: newFields(h.Header),
	}
}

// ToDomain converts the message to the domain type.
func (m *Head) ToDomain() amaranthtide.AnswerHead {
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
