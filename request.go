package amaranthtide

import (
	"net/netip"
	"time"
)

// Request is a caller's request on its way to a backend server. It is immutable
// once it has left the entry, but for Attempt.
type Request struct {
	ID        RequestID
	Attempt   AttemptID
	Workspace WorkspaceName
	Chat      ChatID
	// Model is set for chat completions, Route for plain services.
	Model ModelName
	Route RouteName
	Class Class
	// Weight is the weight of the workspace in the fair queue.
	Weight int
	// Key is set for a request that runs at most once by a stored claim.
	Key IdempotencyKey
	// Once marks a request without a key that may run at most once.
	Once bool
	// Resumable marks a stream that may go on at another server.
	Resumable bool
	// Service is the service that the rule of the request chose; empty where the
	// request names a model or route.
	Service ServiceName
	// Priority ranks the request among those of its service; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of servers on which the request may run; 0 is no limit.
	MaxAttempts int
	// Objective is the time within which the answer should begin; 0 is none.
	Objective time.Duration
	// Arrived is when the request was read.
	Arrived time.Time
	// Cost estimates the work in tokens; at least 1.
	Cost int
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Stream tells whether a chat completion is streamed.
	Stream bool
	// MayQueue tells the owner whether the request may wait for a slot. If not, the
	// owner refuses it as KindFull when it can't start at once.
	MayQueue bool
	// Method, Path and Query are the HTTP request line towards a plain service.
	Method string
	Path   string
	Query  string
	Header []HeaderField
	Body   []byte
}

// Repeatable reports whether the request may run more than once.
func (r *Request) Repeatable() bool { return r.Key == "" && !r.Once }

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
}

// AnswerWriter receives one answer: one Head, then any number of Chunks. The
// answer is whole only when the function that was given the writer returns nil.
// Implementations may block to slow the sender down and must not keep chunks.
type AnswerWriter interface {
	// Head begins the answer. An error means that the caller is gone.
	Head(h AnswerHead) error
	// Chunk appends to the answer's body.
	Chunk(b []byte) error
}

// ServerLoad is the load of one backend server as its owner reports it.
type ServerLoad struct {
	Server BackendServerName
	Boot   BootID
	// InFlight counts the requests admitted and not finished.
	InFlight int
	// Waiting counts the queued requests, which take the places of those that finish.
	Waiting int
	// Allowance is the ramp's present limit.
	Allowance int
	// CompletionsPerSecond is a running mean of the completion rate.
	CompletionsPerSecond float64
}

// GroupLoad is the load of one group of engines, as its owner tells the owners of
// the model's other groups.
type GroupLoad struct {
	Group       GroupName
	Model       ModelName
	From        VMName
	Incarnation Incarnation
	Sequence    uint64
	// Servers counts the engines in service that the owner reaches.
	Servers  int
	InFlight int
	Waiting  int
	// CompletionsPerSecond is a running mean of the completion rate.
	CompletionsPerSecond float64
	// Gap is the longest time for which a change goes untold.
	Gap time.Duration
}

// Report is what a router tells the other routers of its zone about itself.
type Report struct {
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

// Digest is what one zone tells another about itself.
type Digest struct {
	Zone     ZoneName
	From     VMName
	Sequence uint64
	Revision Revision
	Live     []VMName
	Loads    []ServerLoad
}

// LoadReport is what a router without owners tells of the requests at each server:
// to the hub of its zone, as the hub of a zone to those of other zones, or as the hub
// to the routers that report to it.
type LoadReport struct {
	From        RouterEntry
	Incarnation Incarnation
	Sequence    uint64
	// Declared is the newest row of the operators' table that the router knows,
	// Registry that of the table of routers.
	Declared RowVersion
	Registry RowVersion
	// Hubs are the hubs of other zones that the router hears.
	Hubs []VMName
	// Loads has the server and the requests in flight only.
	Loads []ServerLoad
}

// Newer reports whether the report was made after another one of the same router.
func (r LoadReport) Newer(than LoadReport) bool {
	if r.Incarnation != than.Incarnation {
		return r.Incarnation > than.Incarnation
	}
	return r.Sequence > than.Sequence
}

// EngineReport is a model engine's own report of its load. It may lag.
type EngineReport struct {
	Boot     BootID
	InFlight int
	Capacity int
	// Uptime is the time since the engine's boot.
	Uptime time.Duration
	// Leaving marks an engine that wants no new work.
	Leaving bool
}
