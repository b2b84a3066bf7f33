package amaranthtide

import (
	"encoding/json"
	"net/netip"
	"time"
)

// RowKind is the kind of a row in the configuration table.
type RowKind string

// The kinds of rows.
const (
	RowWorkspace     RowKind = "workspace"
	RowBackendServer RowKind = "backendServer"
	RowZone          RowKind = "zone"
	RowVM            RowKind = "vm"
	RowModel         RowKind = "model"
	RowRoute         RowKind = "route"
)

// RowKinds returns all kinds of rows in the order in which declarations list them.
func RowKinds() []RowKind {
	return []RowKind{RowZone, RowVM, RowModel, RowBackendServer, RowRoute, RowWorkspace}
}

// RowKey names a row of the configuration table.
type RowKey struct {
	Kind RowKind `json:"kind"`
	Name string  `json:"name"`
}

// String returns "kind/name".
func (k RowKey) String() string { return string(k.Kind) + "/" + k.Name }

// RowValue is the content of a row: Workspace, BackendServer, Zone, VM, Model or
// Route. Values are immutable once they are in a table.
type RowValue interface {
	// RowKind returns the kind of the row.
	RowKind() RowKind
	// Check returns an error for each field with an invalid value.
	Check() []FieldError
}

// FieldError describes an invalid field of a row or of settings and the values that
// are allowed.
type FieldError struct {
	Field   string `json:"field"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// Row is a row of the configuration table.
type Row struct {
	Key RowKey
	// Revision is the table revision of the last change to the row.
	Revision Revision
	Value    RowValue
}

// Class is the scheduling class of a request.
type Class string

// The scheduling classes. Quick requests do not wait behind standard requests of
// their own workspace.
const (
	ClassQuick    Class = "quick"
	ClassStandard Class = "standard"
)

// Duration is a time.Duration that is encoded as text, such as "1.5s", in JSON and
// declarations.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler in the format of
// time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler in the format that
// time.ParseDuration accepts.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Workspace is a customer with its weight and limits.
type Workspace struct {
	// Weight is the workspace's share of capacity relative to other workspaces; at
	// least 1.
	Weight int `json:"weight"`
	// MaxInFlight bounds the requests in flight in the whole fleet; 0 is unlimited.
	MaxInFlight int `json:"maxInFlight,omitempty"`
	// RequestsPerSecond bounds the request rate in the whole fleet; 0 is unlimited.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	// Model is the default for requests that name no model.
	Model ModelName `json:"model,omitempty"`
	// Class is the default for requests that name no class; empty is ClassStandard.
	Class Class `json:"class,omitempty"`
	// Timeout is the default for requests without a timeout; 0 is DefaultTimeout.
	Timeout Duration `json:"timeout,omitempty"`
	// CallerKeySHA256 is the SHA-256, in hex, of the bearer token that callers
	// must present; empty admits every caller that names the workspace.
	CallerKeySHA256 string `json:"callerKeySha256,omitempty"`
}

// DefaultTimeout is the timeout of a request if neither the caller nor the workspace
// sets one.
const DefaultTimeout = 60 * time.Second

// BackendServer is a model engine or an instance of a plain service.
type BackendServer struct {
	Zone    ZoneName       `json:"zone"`
	Address netip.AddrPort `json:"address"`
	// Model is the model that an engine serves; empty for a plain service.
	Model ModelName `json:"model,omitempty"`
	// Route is the plain service that the server belongs to; empty for an engine.
	Route RouteName `json:"route,omitempty"`
	// Capacity is the number of concurrent requests that a warm server handles.
	Capacity int `json:"capacity"`
	// ColdLimit is the number of concurrent requests that a cold server handles.
	ColdLimit int `json:"coldLimit"`
	// RampDuration is the time from cold to warm; 0 means never cold.
	RampDuration Duration `json:"rampDuration,omitempty"`
	// ChecksFencing tells whether an engine rejects orders with an old fencing number.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// Adapters, Version and Role are the desired placement that orders establish.
	Adapters []string `json:"adapters,omitempty"`
	Version  string   `json:"version,omitempty"`
	Role     string   `json:"role,omitempty"`
	// Leaving marks a server that gets no new requests.
	Leaving bool `json:"leaving,omitempty"`
}

// Zone is an availability zone.
type Zone struct {
	Region string `json:"region,omitempty"`
	// OutOfService marks a zone whose servers get no new requests.
	OutOfService bool `json:"outOfService,omitempty"`
}

// VM is a virtual machine that runs a router.
type VM struct {
	Zone ZoneName `json:"zone"`
	// Address is the address at which other routers reach the router on the VM.
	Address netip.AddrPort `json:"address"`
	// OutOfService marks a VM that owns no backend servers and gets no forwarded
	// requests.
	OutOfService bool `json:"outOfService,omitempty"`
}

// Model holds the settings of a model that apply to all its engines.
type Model struct {
	// CapMultiple bounds the load of an engine relative to the mean load of the
	// model's engines; 0 is DefaultCapMultiple.
	CapMultiple float64 `json:"capMultiple,omitempty"`
	// CapFloor is the load up to which the cap does not apply; 0 applies it at any
	// load.
	CapFloor int `json:"capFloor,omitempty"`
	// OrderTimeout bounds the time that an order to load the model may take.
	OrderTimeout Duration `json:"orderTimeout,omitempty"`
}

// DefaultCapMultiple is the default limit on an engine's load, as a multiple of the
// mean.
const DefaultCapMultiple = 1.25

// Route is a plain service that callers reach by path.
type Route struct {
	// Repeatable tells whether a request may run more than once. If not, each
	// request needs an idempotency key.
	Repeatable bool `json:"repeatable,omitempty"`
}

// RowKind implements RowValue.
func (Workspace) RowKind() RowKind { return RowWorkspace }

// RowKind implements RowValue.
func (BackendServer) RowKind() RowKind { return RowBackendServer }

// RowKind implements RowValue.
func (Zone) RowKind() RowKind { return RowZone }

// RowKind implements RowValue.
func (VM) RowKind() RowKind { return RowVM }

// RowKind implements RowValue.
func (Model) RowKind() RowKind { return RowModel }

// RowKind implements RowValue.
func (Route) RowKind() RowKind { return RowRoute }

// DecodeRowValue decodes the JSON form of a row's value. Unknown fields are an error.
func DecodeRowValue(kind RowKind, data []byte) (RowValue, error) {
	switch kind {
	case RowWorkspace:
		return decodeValue[Workspace](data)
	case RowBackendServer:
		return decodeValue[BackendServer](data)
	case RowZone:
		return decodeValue[Zone](data)
	case RowVM:
		return decodeValue[VM](data)
	case RowModel:
		return decodeValue[Model](data)
	case RowRoute:
		return decodeValue[Route](data)
	default:
		return nil, Errorf(KindBadRequest, "unknown row kind %q", kind)
	}
}

func decodeValue[T RowValue](data []byte) (RowValue, error) {
	var v T
	if err := unmarshalStrict(data, &v); err != nil {
		return nil, Errorf(KindBadRequest, "%s row: %w", v.RowKind(), err)
	}
	return v, nil
}

// EncodeRowValue returns the JSON form of a row's value.
func EncodeRowValue(v RowValue) ([]byte, error) { return json.Marshal(v) }
