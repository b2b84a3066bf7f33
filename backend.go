package amaranthtide

import (
	"context"
	"net/netip"
	"time"
)

// Backend sends requests to backend servers of one type.
type Backend interface {
	// Serve sends the request once to the server at addr and streams the answer to
	// w. It returns nil only if the answer is complete. If KindOf(err).Reply().Ran is
	// RanNo, no byte was sent.
	Serve(ctx context.Context, addr netip.AddrPort, req *Request, w AnswerWriter) error
}

// NoticeWriter is an AnswerWriter that also receives what the server says of itself. Backends
// call Notice before Head, and also if Serve returns an error, but only for a response that
// belongs to the request. They also pass a notice that says nothing: a limit ends so.
type NoticeWriter interface {
	AnswerWriter
	Notice(now time.Time, n ServerNotice)
}

// EngineControl reads the load of model engines and sends them orders.
type EngineControl interface {
	// Load returns the load that the engine reports about itself.
	Load(ctx context.Context, addr netip.AddrPort) (EngineReport, error)
	// Order asks the engine to establish a desired state. It returns KindFenced if
	// the engine has seen a higher fencing number.
	Order(ctx context.Context, addr netip.AddrPort, o Order) error
}

// Order describes the desired state of an engine. Orders are idempotent, so one
// may be sent again.
type Order struct {
	Server   BackendServerName
	Fencing  FencingNumber
	Model    ModelName
	Version  string
	Adapters []string
	Role     string
	// Deadline is when the engine abandons the order.
	Deadline time.Time
}

// Forwarder sends requests to the owner of a backend server.
type Forwarder interface {
	// Forward sends the request to the router at addr, which serves it with the
	// given backend server. It returns the same errors as Backend.Serve.
	Forward(ctx context.Context, addr netip.AddrPort, server BackendServerName, req *Request, w AnswerWriter) error
}

// Owner serves forwarded requests with the backend servers that this router owns.
type Owner interface {
	// Serve admits the request for the server, runs it and streams the answer to w.
	// It returns the same errors as Backend.Serve.
	Serve(ctx context.Context, server BackendServerName, req *Request, w AnswerWriter) error
}

// Candidate is a backend server that may serve a request, with the load that the
// request's entry last learned for it.
type Candidate struct {
	Server BackendServerName
	Zone   ZoneName
	// InFlight is the last known number of requests in flight.
	InFlight int
	// Limit is the last known limit on InFlight.
	Limit int
	// LoadTime is when the load was reported; zero if it never was.
	LoadTime time.Time
}

// PlacementPolicy orders backend servers for a chat. Implementations live in
// coordination/placement.
type PlacementPolicy interface {
	// Order returns the candidates in the order in which they should be tried. It
	// may reorder and return the given slice.
	Order(now time.Time, chat ChatID, candidates []Candidate) []Candidate
}

// Service serves requests with the whole fleet.
type Service interface {
	// Serve picks a backend server for the request, runs the request there and streams
	// the answer to w. It returns nil only if the answer is complete.
	Serve(ctx context.Context, req *Request, w AnswerWriter) error
}

// Directory looks up rows of the current configuration table. It is safe for
// concurrent use.
type Directory interface {
	Workspace(name WorkspaceName) (Workspace, bool)
	Model(name ModelName) (Model, bool)
	Route(name RouteName) (Route, bool)
	// Models returns the names of all models in ascending order.
	Models() []ModelName
}
