package amaranthtide

import (
	"context"
	"net/netip"
	"time"
)

// Backend sends requests to backend servers of one type.
type Backend interface {
	// Serve sends the request once to the server at addr and streams the answer to
	// w. It returns nil only if the answer is whole. An error of a kind whose reply
	// says that the request was not run means that no byte was sent.
	Serve(ctx context.Context, addr netip.AddrPort, req *Request, w AnswerWriter) error
}

// EngineControl reads the load of model engines and gives them orders.
type EngineControl interface {
	// Load returns the engine's own report.
	Load(ctx context.Context, addr netip.AddrPort) (EngineReport, error)
	// Order asks the engine to establish a wanted state. It returns KindFenced if
	// the engine has seen a higher fencing number.
	Order(ctx context.Context, addr netip.AddrPort, o Order) error
}

// Order states the wanted end state of an engine, so that a repeat does no harm.
type Order struct {
	Server   BackendServerName
	Fencing  FencingNumber
	Model    ModelName
	Version  string
	Adapters []string
	Role     string
	// Deadline is when the engine gives the order up.
	Deadline time.Time
}

// Forwarder sends requests to the owner of a backend server.
type Forwarder interface {
	// Forward sends the request to the router at addr, which serves it with the
	// given backend server. Results are as for Backend.Serve.
	Forward(ctx context.Context, addr netip.AddrPort, server BackendServerName, req *Request, w AnswerWriter) error
}

// Owner serves forwarded requests with the backend servers that this router owns.
type Owner interface {
	// Serve admits the request for the server, runs it and streams the answer to w.
	// Results are as for Backend.Serve.
	Serve(ctx context.Context, server BackendServerName, req *Request, w AnswerWriter) error
}

// Candidate is a backend server that may serve a request, with what the entry
// last knew about it.
type Candidate struct {
	Server BackendServerName
	Zone   ZoneName
	// InFlight is the last known load.
	InFlight int
	// Limit is the last known limit of the load.
	Limit int
	// LoadTime is when the load was reported; zero if it never was.
	LoadTime time.Time
}

// Policy orders backend servers for a chat. Implementations live in
// coordination/placement.
type Policy interface {
	// Order returns the candidates in the order in which they should be tried. It
	// may reorder and return the given slice.
	Order(now time.Time, chat ChatID, candidates []Candidate) []Candidate
}

// Service serves requests with the whole fleet.
type Service interface {
	// Serve picks a backend server for the request, serves it and streams the answer
	// to w. It returns nil only if the answer is whole.
	Serve(ctx context.Context, req *Request, w AnswerWriter) error
}

// Directory answers questions about the configuration table in force. It is
// concurrent-safe.
type Directory interface {
	Workspace(name WorkspaceName) (Workspace, bool)
	Model(name ModelName) (Model, bool)
	Route(name RouteName) (Route, bool)
	// Models returns the names of all models in rising order.
	Models() []ModelName
}
