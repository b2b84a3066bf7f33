package amaranthtide

import (
	"context"
	"net/netip"
	"time"
)

// Instance is one run of a backend server, as the platform lists it.
type Instance struct {
	Name    BackendServerName
	Service ServiceName
	Zone    ZoneName
	Address netip.AddrPort
	// Slots is the number of requests that the server runs at once; 0 is unknown.
	Slots int
	// Version is the version of the server's software; empty if it is unknown.
	Version VersionName
	// Leaving marks a server that accepts no new requests.
	Leaving bool
	// ColdUntil is when the server's cold start ends; zero if it is warm.
	ColdUntil time.Time
	// Started is when the server started, by its own clock. A later start under the
	// same name counts as a different server.
	Started time.Time
}

// Attempt is one attempt to run a request on one backend server.
type Attempt struct {
	Request *Request
	Server  BackendServerName
	Address netip.AddrPort
	// Started is the server's Instance.Started.
	Started time.Time
	// Deadline is when the server may abandon the request.
	Deadline time.Time
	// FetchFrom is the address of a server that may have the prompt cached and from
	// which Server can fetch it; the zero value means that there is none.
	FetchFrom netip.AddrPort
	// Rank orders the request among those that wait at the server; the default is its priority.
	Rank Option[int]
	// KeepIdle is the number of idle connections to the server to keep; 0 is the default.
	KeepIdle int
	// ResumeAfter is the identifier of the last event that the caller received; empty
	// unless the attempt continues a stream.
	ResumeAfter string
}

// ServerReport is the load that a backend server reports in the head of an answer.
type ServerReport struct {
	InFlight int
	Waiting  int
	// Slots is the number of requests that the server runs at a time; 0 is unknown.
	Slots int
	// Pace is the pace of the server's machine at the moment; 0 is unknown.
	Pace Pace
}

// AttemptSender sends attempts to backend servers. Each implementation translates
// requests to the protocol of one type of server.
type AttemptSender interface {
	// Send sends the attempt once and passes the answer to w. It returns nil only if
	// the answer is complete. Errors are
	//
	//	KindNoBackend        nothing was sent
	//	KindFull, KindLeaving, KindNotOwner
	//	                     the server answered that it did not run the request
	//	KindTruncated        the answer ended early
	//	KindBackendFailed    the answer violates the protocol
	//	KindOutcomeUnknown   no answer arrived; the request may have run
	//	KindCanceled         the caller disconnected or ctx ended
	Send(ctx context.Context, a Attempt, w AnswerWriter) error
}

// ServerProber tells whether backend servers run, without sending them a request.
type ServerProber interface {
	// Refuses reports whether the VM at addr refuses connections, which shows that no
	// server runs there. It returns false if the server accepts one or doesn't respond.
	Refuses(ctx context.Context, addr netip.AddrPort) bool
}

// ServerNotice is what a server says of itself in the head of an answer, besides its load.
type ServerNotice struct {
	// Started is the start of the server that the answer came from, as the list shows it.
	Started time.Time
	// Leaving is set if the server says that it leaves.
	Leaving bool
	// Pause is how long the server wants no requests from this router; 0 is no pause.
	Pause time.Duration
	// Limit is the rate of requests that the server takes from all routers; 0 if it announces none.
	Limit RequestRate
	// SentAt is when the request was sent, so that a response to an earlier request doesn't end a limit;
	// zero if that isn't known, and the response ends none.
	SentAt time.Time
	// Invalid describes a value that has no meaning and was ignored; empty if there is none.
	Invalid string
}

// ServerObserver receives what servers report in their answers.
type ServerObserver interface {
	// ServerNoticed is called with the notice in the head of each answer, also if it says nothing: a
	// limit ends so.
	ServerNoticed(now time.Time, server BackendServerName, n ServerNotice)
	// ServerReported is called with the report in the head of an answer.
	ServerReported(now time.Time, server BackendServerName, r ServerReport)
}
