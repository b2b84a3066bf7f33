package message

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"amaranthtide"
)

// Limits of the messages.
const (
	// MaxBody is the largest body of a request, in bytes.
	MaxBody = 4 << 20
	// MaxHeader is the largest sum of the names and values of a header, in bytes.
	MaxHeader = 64 << 10
	// MaxHeaderFields is the largest number of fields of a header.
	MaxHeaderFields = 256
	// MaxName is the longest identifier, name or key, in bytes.
	MaxName = 512
	// MaxPath is the longest path or query, in bytes.
	MaxPath = 16 << 10
	// MaxLoads is the largest number of servers in a report or digest.
	MaxLoads = 8192
	// MaxVMs is the largest number of VMs in a digest.
	MaxVMs = 4096
	// MaxChanges is the largest number of log entries in one message.
	MaxChanges = 4096
	// MaxRowValue is the largest row value, in bytes of JSON.
	MaxRowValue = 64 << 10
	// MaxErrorText is the longest error message that travels, in bytes.
	MaxErrorText = 1 << 10
	// MaxItems is the largest number of msgpack values in one message.
	MaxItems = 1 << 16
	// MaxSize is the largest encoded message: a body, a header and the rest.
	MaxSize = MaxBody + 512<<10
)

// Message is one of the messages of this package.
type Message interface {
	// check returns an error if the message exceeds a limit.
	check() error
}

// Append appends the encoded form of m to dst. It refuses a message that a
// decoder would refuse.
func Append(dst []byte, m Message) ([]byte, error) {
	if err := m.check(); err != nil {
		return dst, err
	}
	buf := bytes.NewBuffer(dst)
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(buf)
	enc.UseCompactInts(true)
	enc.SetOmitEmpty(true)
	if err := enc.Encode(m); err != nil {
		return dst, amaranthtide.Errorf(amaranthtide.KindInternal, "encode %T: %w", m, err)
	}
	if buf.Len()-len(dst) > MaxSize {
		return dst, amaranthtide.Errorf(amaranthtide.KindTooLarge, "message of %d bytes is larger than %d", buf.Len()-len(dst), MaxSize)
	}
	return buf.Bytes(), nil
}

// Decode reads the encoded form of one message into m, which must be a pointer
// to a zero value. The message keeps no part of data.
func Decode(data []byte, m Message) error {
	if err := checkEncoding(data); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(data, m); err != nil {
		return badMessage("decode %T: %w", m, err)
	}
	return m.check()
}

func badMessage(format string, args ...any) error {
	return amaranthtide.Errorf(amaranthtide.KindBadRequest, format, args...)
}

// checkLength refuses a text or list that is longer than limit.
func checkLength(field string, n, limit int) error {
	if n > limit {
		return badMessage("%s has length %d, allowed are 0 to %d", field, n, limit)
	}
	return nil
}

// checkNameList refuses a list with more than limit identifiers, or with one that is too long.
func checkNameList(field string, names []string, limit int) error {
	if err := checkLength(field, len(names), limit); err != nil {
		return err
	}
	return checkNames(names...)
}

// checkNames refuses identifiers that are longer than MaxName.
func checkNames(names ...string) error {
	for _, n := range names {
		if err := checkLength("identifier", len(n), MaxName); err != nil {
			return err
		}
	}
	return nil
}
