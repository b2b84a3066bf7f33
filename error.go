package amaranthtide

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
)

type errorKey uint8

const (
	kindKey errorKey = iota
	retryAfterKey
	noticeKey
)

// Errorf returns an error of the given kind with a formatted message. It wraps
// the operand of a %w verb. It captures no stack trace: most errors reject a
// request, and capturing the trace would cost more than the rejection.
func Errorf(kind Kind, format string, args ...any) error {
	return merry.Errorf(format, append(args, merry.NoCaptureStack(), merry.WithValue(kindKey, kind))...)
}

// WithRetryAfter returns err with the time that the caller should wait before a
// retry.
func WithRetryAfter(err error, wait time.Duration) error {
	return merry.Wrap(err, merry.NoCaptureStack(), merry.WithValue(retryAfterKey, wait))
}

// KindOf returns the kind of err. An error without a kind is KindCanceled if it
// wraps context.Canceled and KindInternal otherwise. KindOf(nil) is zero.
func KindOf(err error) Kind {
	if err == nil {
		return 0
	}
	if k, ok := merry.Value(err, kindKey).(Kind); ok {
		return k
	}
	if errors.Is(err, context.Canceled) {
		return KindCanceled
	}
	return KindInternal
}

// IsKind reports whether err is of the given kind.
func IsKind(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }

// RetryAfterOf returns the wait that WithRetryAfter set on err, or the default of
// the error's kind.
func RetryAfterOf(err error) time.Duration {
	if d, ok := merry.Value(err, retryAfterKey).(time.Duration); ok {
		return d
	}
	return KindOf(err).Reply().RetryAfter
}

// WithNotice returns err with what the backend servers that could have taken the request have
// said of themselves: that they leave, or the time until the first one ends its pause.
func WithNotice(err error, n ServerNotice) error {
	return merry.Wrap(err, merry.NoCaptureStack(), merry.WithValue(noticeKey, n))
}

// NoticeOf returns the notice that WithNotice set on err, or the zero value if there is none.
func NoticeOf(err error) ServerNotice {
	n, _ := merry.Value(err, noticeKey).(ServerNotice)
	return n
}
