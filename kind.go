package amaranthtide

import (
	"net/http"
	"time"
)

// Ran tells whether the request behind an error was run by a backend server.
type Ran uint8

const (
	// RanNo means that the request was not run and will not be.
	RanNo Ran = iota
	// RanYes means that the request was run, at least in part.
	RanYes
	// RanUnknown means that nobody can tell; the request may have been run.
	RanUnknown
)

// String returns "no", "yes" or "unknown".
func (r Ran) String() string {
	switch r {
	case RanNo:
		return "no"
	case RanYes:
		return "yes"
	default:
		return "unknown"
	}
}

// Kind is one of the closed list of error kinds. The zero value is no kind.
type Kind uint8

// The error kinds. Kind.Reply holds what callers are told for each.
const (
	KindBadRequest Kind = iota + 1
	KindTooLarge
	KindUnauthenticated
	KindForbidden
	KindUnknownWorkspace
	KindUnknownRoute
	KindUnknownModel
	KindKeyMissing
	KindKeyReused
	KindConflict
	KindLimitReached
	KindFull
	KindZoneOut
	KindNotOwner
	KindLeaving
	KindShuttingDown
	KindDeadlineUnmet
	KindNoBackend
	KindPlatformDown
	KindFenced
	KindBackendFailed
	KindTruncated
	KindCanceled
	KindOutcomeUnknown
	KindInternal
	kindEnd
)

// Reply is the answer to callers for one error kind.
type Reply struct {
	// Name is the kind's name in messages and logs.
	Name string
	// Status is the HTTP status code.
	Status int
	// Ran tells whether the request was run.
	Ran Ran
	// RetryAfter is the shortest sensible wait before the caller tries again;
	// zero means that a retry without a change of the request is of no use.
	RetryAfter time.Duration
}

// statusClientClosed is the status that proxies log when the caller went away.
const statusClientClosed = 499

var replies = [kindEnd]Reply{
	KindBadRequest:       {"badRequest", http.StatusBadRequest, RanNo, 0},
	KindTooLarge:         {"tooLarge", http.StatusRequestEntityTooLarge, RanNo, 0},
	KindUnauthenticated:  {"unauthenticated", http.StatusUnauthorized, RanNo, 0},
	KindForbidden:        {"forbidden", http.StatusForbidden, RanNo, 0},
	KindUnknownWorkspace: {"unknownWorkspace", http.StatusNotFound, RanNo, 0},
	KindUnknownRoute:     {"unknownRoute", http.StatusNotFound, RanNo, 0},
	KindUnknownModel:     {"unknownModel", http.StatusNotFound, RanNo, 0},
	KindKeyMissing:       {"keyMissing", http.StatusBadRequest, RanNo, 0},
	KindKeyReused:        {"keyReused", http.StatusUnprocessableEntity, RanNo, 0},
	KindConflict:         {"conflict", http.StatusConflict, RanNo, 0},
	KindLimitReached:     {"limitReached", http.StatusTooManyRequests, RanNo, time.Second},
	KindFull:             {"full", http.StatusServiceUnavailable, RanNo, time.Second},
	KindZoneOut:          {"zoneOut", http.StatusServiceUnavailable, RanNo, time.Second},
	KindNotOwner:         {"notOwner", http.StatusServiceUnavailable, RanNo, time.Second},
	KindLeaving:          {"leaving", http.StatusServiceUnavailable, RanNo, time.Second},
	KindShuttingDown:     {"shuttingDown", http.StatusServiceUnavailable, RanNo, time.Second},
	KindDeadlineUnmet:    {"deadlineUnmet", http.StatusServiceUnavailable, RanNo, 2 * time.Second},
	KindNoBackend:        {"noBackend", http.StatusServiceUnavailable, RanNo, 2 * time.Second},
	KindPlatformDown:     {"platformDown", http.StatusServiceUnavailable, RanNo, 5 * time.Second},
	KindFenced:           {"fenced", http.StatusConflict, RanNo, 0},
	KindBackendFailed:    {"backendFailed", http.StatusBadGateway, RanYes, time.Second},
	KindTruncated:        {"truncated", http.StatusBadGateway, RanYes, time.Second},
	KindCanceled:         {"canceled", statusClientClosed, RanUnknown, 0},
	KindOutcomeUnknown:   {"outcomeUnknown", http.StatusGatewayTimeout, RanUnknown, 0},
	KindInternal:         {"internal", http.StatusInternalServerError, RanUnknown, 0},
}

// Kinds returns all error kinds in the order of their declaration.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindEnd-1)
	for k := KindBadRequest; k < kindEnd; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// Reply returns what callers are told for k. A value outside the list is
// treated as KindInternal.
func (k Kind) Reply() Reply {
	if k == 0 || k >= kindEnd {
		return replies[KindInternal]
	}
	return replies[k]
}

// String returns the kind's name.
func (k Kind) String() string { return k.Reply().Name }

// ParseKind returns the kind with the given name and whether there is one.
func ParseKind(name string) (Kind, bool) {
	for k := KindBadRequest; k < kindEnd; k++ {
		if replies[k].Name == name {
			return k, true
		}
	}
	return 0, false
}
