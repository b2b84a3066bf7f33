package message

import (
	"strings"
	"time"

	"amaranthtide"
)

// End is the last message of an answer. It tells whether the answer is complete.
type End struct {
	// Complete is set if the whole answer was sent. An End without it is an error,
	// even if Kind is empty.
	Complete bool `msgpack:"whole"`
	// Bytes is the size of the body that was sent.
	Bytes uint64 `msgpack:"bytes"`
	// Kind is the name of the error kind.
	Kind    string `msgpack:"kind"`
	Message string `msgpack:"message"`
	// RetryAfterMillis is 0 for the default delay of the kind.
	RetryAfterMillis uint32 `msgpack:"retryAfterMillis"`
	// Leaving and PauseMillis are the notice of the error, see amaranthtide.NoticeOf. Routers of
	// an earlier version skip them.
	Leaving     bool   `msgpack:"leaving"`
	PauseMillis uint32 `msgpack:"pauseMillis"`
}

// maxRetryAfter is the largest retry delay, and the longest pause, that a peer may request.
const maxRetryAfter = time.Hour

// NewEnd returns the End of an answer with a body of the given size. A nil err
// means that the answer is complete.
func NewEnd(size uint64, err error) *End {
	if err == nil {
		return &End{Complete: true, Bytes: size}
	}
	text := err.Error()
	if len(text) > MaxErrorText {
		text = strings.ToValidUTF8(text[:MaxErrorText], "")
	}
	notice := amaranthtide.NoticeOf(err)
	return &End{
		Bytes: size, Kind: amaranthtide.KindOf(err).String(), Message: text,
		RetryAfterMillis: ceilMillis(min(amaranthtide.RetryAfterOf(err), maxRetryAfter)),
		Leaving:          notice.Leaving, PauseMillis: ceilMillis(min(notice.Pause, maxRetryAfter)),
	}
}

// Err returns nil for a complete answer, otherwise an error with the kind, message
// and retry delay of the original one. A kind unknown to this router becomes
// KindInternal, whose reply says that it is unknown whether the request ran.
func (m *End) Err() error {
	if m.Complete {
		return nil
	}
	kind, ok := kindsByName[m.Kind]
	if !ok {
		kind = amaranthtide.KindInternal
	}
	err := amaranthtide.Errorf(kind, "%s", m.Message)
	if m.Leaving || m.PauseMillis > 0 {
		pause := time.Duration(m.PauseMillis) * time.Millisecond
		err = amaranthtide.WithNotice(err, amaranthtide.ServerNotice{Leaving: m.Leaving, Pause: pause})
	}
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
		return badMessage("end of a complete answer has error kind %q", m.Kind)
	}
	if time.Duration(m.RetryAfterMillis)*time.Millisecond > maxRetryAfter {
		return badMessage("retryAfterMillis is %d, must be at most %d", m.RetryAfterMillis, maxRetryAfter.Milliseconds())
	}
	if time.Duration(m.PauseMillis)*time.Millisecond > maxRetryAfter {
		return badMessage("pauseMillis is %d, must be at most %d", m.PauseMillis, maxRetryAfter.Milliseconds())
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
