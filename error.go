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
)

// Errorf returns an error of the given kind with a formatted message. It keeps
// an error passed with the %w verb as its cause. It captures no stack: most
// errors are refusals on the request path, where a stack costs more than the
// refusal.
func Errorf(kind Kind, format string, args ...any) error {
	return merry.Errorf(format, append(args, merry.NoCaptureStack(), merry.WithValue(kindKey, kind))...)
}

// WithRetryAfter returns err with a hint when a retry makes sense.
func WithRetryAfter(err error, wait time.Duration) error {
	return merry.Wrap(err, merry.NoCaptureStack(), merry.WithValue(retryAfterKey, wait))
}

// KindOf returns the kind of err. An error without a kind is KindCanceled if it
// stems from a canceled context and KindInternal otherwise. KindOf(nil) is zero.
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

// RetryAfterOf returns the retry hint of err, or the default of its kind.
func RetryAfterOf(err error) time.Duration {
	if d, ok := merry.Value(err, retryAfterKey).(time.Duration); ok {
		return d
	}
	return KindOf(err).Reply().RetryAfter
}
