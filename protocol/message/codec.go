package message

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"amaranthtide"
)

// Limits on message contents. Encoders and decoders enforce them.
const (
	// MaxBody is the largest request body, in bytes.
	MaxBody = 4 << 20
	// MaxHeader is the largest total size of the names and values of an HTTP header, in bytes.
	MaxHeader = 64 << 10
	// MaxHeaderFields is the largest number of fields of an HTTP header.
	MaxHeaderFields = 256
	// MaxName is the longest identifier, name or key, in bytes.
	MaxName = 512
	// MaxPath is the longest path or query, in bytes.
	MaxPath = 16 << 10
	// MaxLoads is the largest number of servers in a report or digest.
	MaxLoads = 8192
	// MaxVMs is the largest number of VMs in a digest and of hubs in a load report.
	MaxVMs = 4096
	// MaxChanges is the largest number of log entries or feed rows in one message.
	MaxChanges = 4096
	// MaxRowValue is the largest row value, in bytes of JSON.
	MaxRowValue = 64 << 10
	// MaxErrorText is the longest error message in an End, in bytes.
	MaxErrorText = 1 << 10
	// MaxItems is the largest number of msgpack values in one message, nested ones included.
	MaxItems = 1 << 16
	// MaxSize is the largest encoded message, in bytes. It has room for a body, a
	// header and the other fields.
	MaxSize = MaxBody + 512<<10
)

// Message is implemented by the message types of this package.
type Message interface {
	// check returns an error if the message exceeds a limit or is inconsistent.
	check() error
}

// Append appends the encoding of m to dst. It returns an error for a message that
// Decode would reject.
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
		return dst, amaranthtide.Errorf(amaranthtide.KindTooLarge, "message size of %d bytes exceeds the limit of %d", buf.Len()-len(dst), MaxSize)
	}
	return buf.Bytes(), nil
}

// Decode decodes one message from data into m, which must point to a zero value.
// The message doesn't alias data.
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

// checkLength returns an error if the length n of a string or list exceeds limit.
func checkLength(field string, n, limit int) error {
	if n > limit {
		return badMessage("%s has length %d, must be at most %d", field, n, limit)
	}
	return nil
}

// checkNameList returns an error if names has more than limit identifiers or one of
// them is longer than MaxName.
func checkNameList(field string, names []string, limit int) error {
	if err := checkLength(field, len(names), limit); err != nil {
		return err
	}
	return checkNames(names...)
}

// checkNames returns an error if an identifier is longer than MaxName.
func checkNames(names ...string) error {
	for _, n := range names {
		if err := checkLength("identifier", len(n), MaxName); err != nil {
			return err
		}
	}
	return nil
}
