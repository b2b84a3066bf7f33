package amaranthtide

import (
	"net/http"
	"time"
)

// Ran tells whether a backend server ran the request that failed with an error.
type Ran uint8

const (
	// RanNo means that the request did not run and will not run later.
	RanNo Ran = iota
	// RanYes means that the request ran, at least in part.
	RanYes
	// RanUnknown means that the request may or may not have run.
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

// Kind is an error kind from a closed list. The zero value is not a kind.
type Kind uint8

// The error kinds. Kind.Reply returns the reply to callers for each of them.
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
	KindQuarantined
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

// Reply is the reply to callers for one error kind.
type Reply struct {
	// Name is the name of the kind in messages and logs.
	Name string
	// Status is the HTTP status code.
	Status int
	// Ran tells whether the request ran.
	Ran Ran
	// RetryAfter is the minimum wait before a retry; zero means that the unchanged
	// request should not be retried.
	RetryAfter time.Duration
}

// statusClientClosedRequest is the non-standard status code that proxies log when the
// client closes the connection before the response.
const statusClientClosedRequest = 499

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
	KindQuarantined:      {"quarantined", http.StatusServiceUnavailable, RanNo, 10 * time.Second},
	KindShuttingDown:     {"shuttingDown", http.StatusServiceUnavailable, RanNo, time.Second},
	KindDeadlineUnmet:    {"deadlineUnmet", http.StatusServiceUnavailable, RanNo, 2 * time.Second},
	KindNoBackend:        {"noBackend", http.StatusServiceUnavailable, RanNo, 2 * time.Second},
	KindPlatformDown:     {"platformDown", http.StatusServiceUnavailable, RanNo, 5 * time.Second},
	KindFenced:           {"fenced", http.StatusConflict, RanNo, 0},
	KindBackendFailed:    {"backendFailed", http.StatusBadGateway, RanYes, time.Second},
	KindTruncated:        {"truncated", http.StatusBadGateway, RanYes, time.Second},
	KindCanceled:         {"canceled", statusClientClosedRequest, RanUnknown, 0},
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

// Reply returns the reply to callers for k. A value outside of the list is treated
// as KindInternal.
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
