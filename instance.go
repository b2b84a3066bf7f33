package amaranthtide

import (
	"context"
	"net/netip"
	"time"
)

// Instance is one start of a backend server, as the platform lists it.
type Instance struct {
	Name    BackendServerName
	Service ServiceName
	Zone    ZoneName
	Address netip.AddrPort
	// Leaving marks a server that wants no new work.
	Leaving bool
	// ColdUntil is when the server stops being cold; zero if it is warm.
	ColdUntil time.Time
	// Started is when the server started, by its own clock. A later start under the
	// same name is another server.
	Started time.Time
}

// Attempt is one sending of a request to one backend server.
type Attempt struct {
	Request *Request
	Server  BackendServerName
	Address netip.AddrPort
	// Deadline is when the server may stop its work.
	Deadline time.Time
	// FetchFrom is a server that may hold the prompt in memory, from which this one can
	// fetch it; the zero value is none.
	FetchFrom netip.AddrPort
	// ResumeAfter is the identifier of the last event that the caller has; empty
	// unless the attempt continues a stream.
	ResumeAfter string
}

// ServerReport is what a backend server tells about itself in an answer.
type ServerReport struct {
	InFlight int
	Waiting  int
}

// Courier sends attempts to backend servers. Implementations translate requests to
// the protocol of the servers and live in the packages of their transport.
type Courier interface {
	// Send sends the attempt once and passes the answer to w. It returns nil only if
	// the answer is whole. Errors are
	//
	//	KindNoBackend        nothing was sent
	//	KindFull, KindLeaving, KindNotOwner
	//	                     the server says that it did not run the request
	//	KindTruncated        the answer began and was cut
	//	KindBackendFailed    the answer is not one of the protocol
	//	KindOutcomeUnknown   no answer came, the request may have run
	//	KindCanceled         the caller is gone or ctx ended
	Send(ctx context.Context, a Attempt, w AnswerWriter) error
}

// ServerObserver learns what servers tell about themselves in answers.
type ServerObserver interface {
	// ServerReported is called with the report of an answer's head.
	ServerReported(now time.Time, server BackendServerName, r ServerReport)
}
