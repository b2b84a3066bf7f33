package message

import (
	"strings"
	"time"

	"amaranthtide"
)

// End ends the answer of a stream.
type End struct {
	// Complete is set if the answer is complete. An end without it is an error, also
	// when the kind is missing.
	Complete bool `msgpack:"whole"`
	// Bytes is the size of the body that was sent.
	Bytes   uint64 `msgpack:"bytes"`
	Kind    string `msgpack:"kind"`
	Message string `msgpack:"message"`
	// RetryAfterMillis is 0 for the default of the kind.
	RetryAfterMillis uint32 `msgpack:"retryAfterMillis"`
}

// maxRetryAfter bounds the retry hint that a peer can pass on.
const maxRetryAfter = time.Hour

// NewEnd returns the wire form of the outcome err of an answer with a body of
// the given size. A nil err means that the answer is whole.
func NewEnd(size uint64, err error) *End {
	if err == nil {
		return &End{Complete: true, Bytes: size}
	}
	text := err.Error()
	if len(text) > MaxErrorText {
		text = strings.ToValidUTF8(text[:MaxErrorText], "")
	}
	return &End{
		Bytes: size, Kind: amaranthtide.KindOf(err).String(), Message: text,
		RetryAfterMillis: ceilMillis(min(amaranthtide.RetryAfterOf(err), maxRetryAfter)),
	}
}

// Err returns nil for a whole answer, else an error with the kind, message and
// retry hint of the original. A kind that this router doesn't know is
// KindInternal, whose reply says that nobody can tell whether the request ran.
func (m *End) Err() error {
	if m.Complete {
		return nil
	}
	kind, ok := kindsByName[m.Kind]
	if !ok {
		kind = amaranthtide.KindInternal
	}
	err := amaranthtide.Errorf(kind, "%s", m.Message)
	if m.RetryAfterMillis == 0 {
		return err
	}
	return amaranthtide.WithRetryAfter(err, time.Duration(m.RetryAfterMillis)*time.Millisecond)
}

func (m *End) check() error {
	if err := checkNames(m.Kind); err != nil {
		return err
	}
	if m.Complete && m.Kind != "" {
		return badMessage("end is both whole and %q", m.Kind)
	}
	if time.Duration(m.RetryAfterMillis)*time.Millisecond > maxRetryAfter {
		return badMessage("retryAfterMillis is %d, allowed are 0 to %d", m.RetryAfterMillis, maxRetryAfter.Milliseconds())
	}
	return checkLength("message", len(m.Message), MaxErrorText)
}

var kindsByName = func() map[string]amaranthtide.Kind {
	names := make(map[string]amaranthtide.Kind)
	for _, k := range amaranthtide.Kinds() {
		names[k.String()] = k
	}
	return names
}()
