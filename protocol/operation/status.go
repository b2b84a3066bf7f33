package operation

import (
	"time"

	"amaranthtide"
)

// Source tells how a router knows something.
type Source string

// The sources.
const (
	// SourceReports is exact: every router of the zone reports about itself.
	SourceReports Source = "reports"
	// SourceDigest is a summary of another zone by one of its contacts.
	SourceDigest Source = "digest"
	// SourceNone means that nothing is known.
	SourceNone Source = "none"
)

// Status is the state of the fleet as one router sees it.
type Status struct {
	Time time.Time             `json:"time"`
	VM   amaranthtide.VMName   `json:"vm"`
	Zone amaranthtide.ZoneName `json:"zone"`
	// View says in words what the answer is based on.
	View string `json:"view"`
	// Version is the program version of the router that answers.
	Version string `json:"version,omitempty"`
	// Revision is the revision in force at this router.
	Revision amaranthtide.Revision `json:"revision"`
	Zones    []ZoneStatus          `json:"zones"`
	Routers  []RouterStatus        `json:"routers"`
	Servers  []ServerStatus        `json:"servers"`
	// Results counts the requests that ended at this router since its start, by "ok"
	// or error kind. The count for outcomeUnknown includes claims whose outcome
	// nobody can tell.
	Results  map[string]uint64 `json:"results"`
	Orders   []OrdersStatus    `json:"orders,omitempty"`
	Problems []Problem         `json:"problems"`
}

// ZoneStatus is the state of an availability zone.
type ZoneStatus struct {
	Zone         amaranthtide.ZoneName `json:"zone"`
	Source       Source                `json:"source"`
	OutOfService bool                  `json:"outOfService,omitempty"`
	Routers      int                   `json:"routers"`
	// Revision is the lowest revision in force at the zone's live routers.
	Revision amaranthtide.Revision `json:"revision,omitempty"`
	// Age is the time since the zone was last heard of.
	Age amaranthtide.Duration `json:"age,omitempty"`
}

// RouterStatus is the state of a router.
type RouterStatus struct {
	VM           amaranthtide.VMName   `json:"vm"`
	Zone         amaranthtide.ZoneName `json:"zone"`
	Source       Source                `json:"source"`
	Live         bool                  `json:"live"`
	Leaving      bool                  `json:"leaving,omitempty"`
	OutOfService bool                  `json:"outOfService,omitempty"`
	// Revision is the revision in force there; 0 if it is not known.
	Revision amaranthtide.Revision `json:"revision,omitempty"`
	Age      amaranthtide.Duration `json:"age,omitempty"`
}

// ServerStatus is the state of a backend server.
type ServerStatus struct {
	Server amaranthtide.BackendServerName `json:"server"`
	Zone   amaranthtide.ZoneName          `json:"zone"`
	Model  amaranthtide.ModelName         `json:"model,omitempty"`
	Route  amaranthtide.RouteName         `json:"route,omitempty"`
	Source Source                         `json:"source"`
	// Owner is empty for servers of other zones.
	Owner amaranthtide.VMName `json:"owner,omitempty"`
	// Load is the number of requests in flight, Mean that of its model's servers in
	// service and Skew the quotient of both.
	Load int     `json:"load"`
	Mean float64 `json:"mean,omitempty"`
	Skew float64 `json:"skew,omitempty"`
	// Allowance is the limit of the ramp; Capacity is what the warm server bears.
	Allowance int `json:"allowance,omitempty"`
	Capacity  int `json:"capacity"`
	// Limit is the load up to which the server gets further work, by the ramp and by
	// the cap on the mean as this router knows it.
	Limit int `json:"limit,omitempty"`
	// Cold marks a server whose ramp is below its capacity.
	Cold bool `json:"cold,omitempty"`
	// Waiting and Settled are known for servers that the answering router owns.
	Waiting *int  `json:"waiting,omitempty"`
	Settled *bool `json:"settled,omitempty"`
	// Down marks a server of this router that does not answer.
	Down    bool                  `json:"down,omitempty"`
	Leaving bool                  `json:"leaving,omitempty"`
	Age     amaranthtide.Duration `json:"age,omitempty"`
}

// OrdersStatus is the state of the orders to the engines of a zone.
type OrdersStatus struct {
	Zone amaranthtide.ZoneName `json:"zone"`
	// VM holds the lease of the zone.
	VM      amaranthtide.VMName        `json:"vm"`
	Fencing amaranthtide.FencingNumber `json:"fencing"`
	Time    time.Time                  `json:"time"`
	Pending []PendingOrder             `json:"pending,omitempty"`
}

// PendingOrder tells why an engine does not have its declared placement yet.
type PendingOrder struct {
	Server amaranthtide.BackendServerName `json:"server"`
	Reason string                         `json:"reason"`
	Since  time.Time                      `json:"since"`
	// Failed tells whether something went wrong, as opposed to waiting its turn.
	Failed bool `json:"failed,omitempty"`
}

// Problem is something that an operator should look at.
type Problem struct {
	// Kind is one of the list in docs/operators.md.
	Kind string `json:"kind"`
	// Subject names the row, zone or router concerned.
	Subject string `json:"subject"`
	Message string `json:"message"`
}
