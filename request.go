package amaranthtide

import (
	"net/netip"
	"time"
)

// Request is a caller's request on its way to a backend server. Once the entry has
// accepted it, only Attempt and MayQueue change from one attempt to the next.
type Request struct {
	ID        RequestID
	Attempt   AttemptID
	Workspace WorkspaceName
	Chat      ChatID
	// PromptParts are the parts of the prompt in order; nil if they are not known. The last
	// part belongs to this request or its chat.
	PromptParts []PromptPart
	// Model is set for chat completions, Route for plain services.
	Model ModelName
	Route RouteName
	Class Class
	// Weight is the weight of the workspace in the fair queue.
	Weight int
	// Key is set if a stored claim ensures that the request runs at most once.
	Key IdempotencyKey
	// AtMostOnce marks a request without a key that may run at most once.
	AtMostOnce bool
	// Resumable marks a stream that another server may continue.
	Resumable bool
	// ResumesAfter is the identifier of the last event that the caller has received of a stream that it
	// takes up again, empty for a new one. Resumes is the request that brought the first event of
	// that stream, empty if the caller doesn't say.
	ResumesAfter string
	Resumes      RequestID
	// Service is the service that the matching rule selected; empty if the request
	// names a model or a route.
	Service ServiceName
	// Priority ranks the request among those of its service; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the number of servers that may run the request; 0 means no limit.
	MaxAttempts int
	// Objective is the target for the time until the answer begins; 0 means none.
	Objective time.Duration
	// Arrived is when the router read the request.
	Arrived time.Time
	// Cost is the estimated work in tokens; at least 1.
	Cost int
	// PromptTokens is the length of the prompt, SharedTokens the length of its beginning that the
	// request has in common with the others of its chat; 0 is unknown.
	PromptTokens, SharedTokens int
	// OutputTokens is the limit of the answer; 0 is unknown.
	OutputTokens int
	// FirstEventBy is when the caller gives up if it has not received the first event of a
	// stream; zero if the answer is not a stream.
	FirstEventBy time.Time
	// PauseTimeout is how long the caller of a stream waits for the next event before it gives up; 0
	// is unknown.
	PauseTimeout time.Duration
	// PauseObjective is the target for the time between the events of a stream; 0 means none.
	PauseObjective time.Duration
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Stream tells whether a chat completion is streamed.
	Stream bool
	// MayQueue tells the owner whether the request may wait for a slot. If not, the
	// owner rejects it with KindFull when it can't start immediately.
	MayQueue bool
	// Method, Path and Query form the HTTP request line for a plain service.
	Method string
	Path   string
	Query  string
	Header []HeaderField
	Body   []byte
}

// Repeatable reports whether the request may run more than once.
func (r *Request) Repeatable() bool { return r.Key == "" && !r.AtMostOnce }

// HeaderField is one field of an HTTP header.
type HeaderField struct {
	Name  string
	Value string
}

// AnswerHead begins an answer.
type AnswerHead struct {
	Attempt AttemptID
	Server  BackendServerName
	Status  int
	Header  []HeaderField
	// Unframed is set if the server announced neither a length nor an end: the end of its
	// connection is the end of the answer. The caller gets it the same way, since a server
	// that stopped halfway can't be told from one that has finished.
	Unframed bool
}

// AnswerWriter receives one answer: one call of Head, then any number of calls of
// Chunk. The answer is complete only if the function that the writer was passed to
// returns nil. Implementations may block to apply backpressure and must not retain
// chunks.
type AnswerWriter interface {
	// Head begins the answer. An error means that the caller has disconnected.
	Head(h AnswerHead) error
	// Chunk appends b to the body of the answer.
	Chunk(b []byte) error
}

// ServerLoad is the load of one backend server as its owner reports it.
type ServerLoad struct {
	Server BackendServerName
	Boot   BootID
	// InFlight is the number of admitted requests that have not finished.
	InFlight int
	// Waiting is the number of queued requests, which start as others finish.
	Waiting int
	// Allowance is the current limit of the server's ramp.
	Allowance int
	// CompletionsPerSecond is a running mean of the completion rate.
	CompletionsPerSecond float64
	// Pace is the recent pace of the server's machine.
	Pace PaceEstimate
	// BodyBytes is the size of the bodies of the requests in flight.
	BodyBytes int64
	// Limit is what is known of the rate that the server has announced.
	Limit ServerLimit
}

// GroupLoad is the load of one group of engines, as its owner reports it to the
// owners of the model's other groups.
type GroupLoad struct {
	Group       GroupName
	Model       ModelName
	From        VMName
	Incarnation Incarnation
	Sequence    uint64
	// Servers is the number of engines in service that the owner can reach.
	Servers  int
	InFlight int
	Waiting  int
	// CompletionsPerSecond is a running mean of the completion rate.
	CompletionsPerSecond float64
	// MaxReportDelay is the longest time until a change of the load is reported.
	MaxReportDelay time.Duration
}

// RouterReport is the status that a router sends to the other routers of its zone.
type RouterReport struct {
	VM          VMName
	Zone        ZoneName
	Address     netip.AddrPort
	Incarnation Incarnation
	Sequence    uint64
	Revision    Revision
	View        ViewHash
	// Leaving marks a router that is shutting down.
	Leaving bool
	// Interval is the longest time until the next report.
	Interval time.Duration
	Loads    []ServerLoad
}

// ZoneDigest is the summary of a zone that one of its routers sends to another zone.
type ZoneDigest struct {
	Zone     ZoneName
	From     VMName
	Sequence uint64
	Revision Revision
	Live     []VMName
	Loads    []ServerLoad
}

// LoadReport holds the number of requests in flight at each server, in a fleet whose
// backend servers have no owners. Each router sends its report to the hub of its zone,
// which is the router that adds up the loads of the zone. Hubs exchange the sums of
// their zones, and send the totals of the fleet to the routers that report to them.
type LoadReport struct {
	From        RouterEntry
	Incarnation Incarnation
	Sequence    uint64
	// DeclaredVersion is the highest version of any row that the router has received of
	// the operators' table.
	DeclaredVersion StoreVersion
	// RegistryVersion is the highest version of any row that the router has received of
	// the table of registered routers.
	RegistryVersion StoreVersion
	// EvidenceHash is the hash over the router's CrashEvidence.
	EvidenceHash EvidenceHash
	// Hubs are the hubs of other zones from which the router receives reports.
	Hubs []VMName
	// Loads sets only Server, InFlight, Pace and BodyBytes of each entry.
	Loads []ServerLoad
}

// Newer reports whether r was made after other. Both must come from the same router.
func (r LoadReport) Newer(other LoadReport) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Sequence > other.Sequence
}

// EngineReport is the load that a model engine reports about itself. It may be out
// of date.
type EngineReport struct {
	Boot     BootID
	InFlight int
	Capacity int
	// Uptime is the time since the engine's boot.
	Uptime time.Duration
	// Leaving marks an engine that accepts no new requests.
	Leaving bool
}
