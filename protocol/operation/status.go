package operation

import (
	"time"

	"amaranthtide"
)

// Source identifies the origin of a part of the status.
type Source string

const (
	// SourceReports means the reports of the answering router's own zone, in which every
	// router describes itself.
	SourceReports Source = "reports"
	// SourceDigest means the digest of another zone, which one of its routers sends.
	SourceDigest Source = "digest"
	// SourceNone means that nothing is known.
	SourceNone Source = "none"
)

// Status is the state of the fleet as one router sees it.
type Status struct {
	Time time.Time             `json:"time"`
	VM   amaranthtide.VMName   `json:"vm"`
	Zone amaranthtide.ZoneName `json:"zone"`
	// Explanation describes in words where the status comes from and how accurate it is.
	Explanation string `json:"view"`
	// Version is the program version of the answering router.
	Version string `json:"version,omitempty"`
	// Revision is the revision in force at the answering router.
	Revision amaranthtide.Revision `json:"revision"`
	Zones    []ZoneStatus          `json:"zones"`
	Routers  []RouterStatus        `json:"routers"`
	Servers  []ServerStatus        `json:"servers"`
	// Results counts the requests that have ended at the answering router since its
	// start, by "ok" or error kind. The count of outcomeUnknown includes requests whose
	// claim of an idempotency key has an outcome that can't be determined.
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
	// Age is the time since the last digest of the zone was received.
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
	// Revision is the revision in force at the router; 0 if it is unknown.
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
	// Load is the number of requests in flight, Mean the mean load of the model's
	// servers that are in service, and Skew is Load divided by Mean.
	Load int     `json:"load"`
	Mean float64 `json:"mean,omitempty"`
	Skew float64 `json:"skew,omitempty"`
	// Allowance is the current limit of the ramp after a cold start; Capacity is the
	// limit of a warm server.
	Allowance int `json:"allowance,omitempty"`
	Capacity  int `json:"capacity"`
	// Limit is the load up to which the server gets more requests: the smaller one of
	// the ramp's limit and the cap on the mean, as estimated by the answering router.
	Limit int `json:"limit,omitempty"`
	// Cold marks a server whose allowance is below its capacity.
	Cold bool `json:"cold,omitempty"`
	// Waiting is the number of queued requests. Settled is false until the routers of the
	// zone agree on the owner. Both are known only for servers that the answering router
	// owns.
	Waiting *int  `json:"waiting,omitempty"`
	Settled *bool `json:"settled,omitempty"`
	// Down marks a server that the answering router owns and that does not respond.
	Down    bool                  `json:"down,omitempty"`
	Leaving bool                  `json:"leaving,omitempty"`
	Age     amaranthtide.Duration `json:"age,omitempty"`
}

// OrdersStatus is the state of the orders to the engines of a zone.
type OrdersStatus struct {
	Zone amaranthtide.ZoneName `json:"zone"`
	// VM is the holder of the zone's lease.
	VM      amaranthtide.VMName        `json:"vm"`
	Fencing amaranthtide.FencingNumber `json:"fencing"`
	Time    time.Time                  `json:"time"`
	Pending []PendingOrder             `json:"pending,omitempty"`
}

// PendingOrder is an engine that does not have its declared placement yet, and the
// reason.
type PendingOrder struct {
	Server amaranthtide.BackendServerName `json:"server"`
	Reason string                         `json:"reason"`
	Since  time.Time                      `json:"since"`
	// Failed means that an order has failed, as opposed to waiting for other engines.
	Failed bool `json:"failed,omitempty"`
}

// Problem is a condition of the fleet that an operator should investigate.
type Problem struct {
	// Kind is one of the kinds that are listed in docs/operators.md.
	Kind string `json:"kind"`
	// Subject names the row, zone or router concerned.
	Subject string `json:"subject"`
	Message string `json:"message"`
}
