package amaranthtide

import "time"

// Explainer tells where a request would go, without sending or counting it.
type Explainer interface {
	// Explain returns where the request would go if it arrived now with a body of the given size,
	// instead of its own.
	Explain(now time.Time, req *Request, bodyBytes int) Explanation
}

// Explanation tells where one router would send a request at a time, and why. Durations are texts in
// its JSON form, such as "35ms".
type Explanation struct {
	At        time.Time     `json:"at"`
	VM        VMName        `json:"vm"`
	Zone      ZoneName      `json:"zone"`
	Revision  Revision      `json:"revision"`
	Request   RequestID     `json:"request,omitempty"`
	Route     RouteName     `json:"route,omitempty"`
	Service   ServiceName   `json:"service,omitempty"`
	Workspace WorkspaceName `json:"workspace,omitempty"`
	Priority  int           `json:"priority"`
	// Engine is set if the service has model engines.
	Engine bool `json:"engine"`
	// Chosen is the server that gets the request; empty if it is refused. If the server is drawn, it
	// is the most likely one.
	Chosen BackendServerName `json:"chosen,omitempty"`
	// Refusal tells why the request is refused, or waits.
	Refusal *ExplainedRefusal `json:"refusal,omitempty"`
	// Draws names what is drawn at random for a real request, which may thus go elsewhere.
	Draws []string `json:"draws,omitempty"`
	// Admission is nil if the service has no admission control.
	Admission *ExplainedAdmission `json:"admission,omitempty"`
	// Stage is the stage of the service's last rollout; empty if the deployment has no rollouts.
	Stage string `json:"stage,omitempty"`
	// LoadAge is the age of the loads that other routers have reported; 0 if there are none.
	LoadAge Duration `json:"loadAge"`
	// Cap is nil for plain services.
	Cap *ExplainedCap `json:"cap,omitempty"`
	// Candidates are in the order of preference, as long as none exceeds the cap or is slow.
	Candidates []ExplainedCandidate `json:"candidates"`
	// Excluded are the other servers of the service.
	Excluded []ExcludedServer `json:"excluded"`
}

// ExplainedRefusal tells why a request isn't sent at once.
type ExplainedRefusal struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	// Waits is set if the request isn't refused but waits, for so long, until a server ends its pause
	// or takes a request within its limit.
	Waits Duration `json:"waits,omitempty"`
	// RetryAfter is when the caller is told to return; 0 if it isn't told.
	RetryAfter Duration `json:"retryAfter,omitempty"`
}

// NewExplainedRefusal returns the refusal of a request that ends with err.
func NewExplainedRefusal(err error) *ExplainedRefusal {
	return &ExplainedRefusal{Kind: KindOf(err).String(), Message: err.Error(), RetryAfter: Duration(RetryAfterOf(err))}
}

// ExplainedAdmission is the decision of the admission control, and what it is based on.
type ExplainedAdmission struct {
	// Verdict is "admit", "delay" or "reject", Reason that of a rejection.
	Verdict string `json:"verdict"`
	Reason  string `json:"reason,omitempty"`
	// Waits is the longest time for which the request waits for capacity.
	Waits Duration `json:"waits,omitempty"`
	// Load is the load of the engines in relation to the slots that can be used, Share the part of
	// the offered work that is admitted, of all priorities.
	Load  float64 `json:"load"`
	Share float64 `json:"share"`
	// Slots, Running and Waiting are the slots of the engines, the requests in them, and those that
	// wait there.
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// ExplainedCap is the cap on the load of an engine. It holds for the load with the new request.
type ExplainedCap struct {
	Multiple float64 `json:"multiple"`
	Extra    float64 `json:"extra"`
	Mean     float64 `json:"mean"`
	// MaxLoad follows from the others.
	MaxLoad float64 `json:"maxLoad"`
}

// ExplainedCandidate is a server that may get the request, and what the router knows of it.
type ExplainedCandidate struct {
	Server  BackendServerName `json:"server"`
	Zone    ZoneName          `json:"zone"`
	Version VersionName       `json:"version,omitempty"`
	// Chance is the probability that the request goes there.
	Chance float64 `json:"chance"`
	Load   int     `json:"load"`
	// Slots and Pace are 0 if they are unknown.
	Slots int  `json:"slots"`
	Pace  Pace `json:"pace"`
	// ReportAge is the age of the server's last report about itself; nil if there is none.
	ReportAge *Duration `json:"reportAge,omitempty"`
	// FirstEvent and Pause are the expected times to the first event and between events at an engine,
	// InTime tells whether they meet the objectives. They matter as soon as the pace of an engine is
	// known.
	FirstEvent Duration `json:"firstEvent,omitempty"`
	Pause      Duration `json:"pause,omitempty"`
	InTime     bool     `json:"inTime"`
	// OverCap is set if the load with the request would exceed the cap.
	OverCap bool `json:"overCap"`
	// Cold marks a server in its cold start, Returning one that has ended a pause a moment ago. Both
	// get few requests; Admits tells whether they would take one now.
	Cold      bool `json:"cold"`
	Returning bool `json:"returning"`
	Admits    bool `json:"admits"`
	// Avoided marks a server that failed recently, or is Unreachable.
	Avoided     bool `json:"avoided"`
	Unreachable bool `json:"unreachable"`
}

// Exclusion is a reason why a server may not get a request.
type Exclusion string

// The exclusions.
const (
	// ExclusionLeaving means that the server leaves.
	ExclusionLeaving Exclusion = "leaving"
	// ExclusionZone means that the zone of the server is out of service.
	ExclusionZone Exclusion = "zone out of service"
	// ExclusionPause means that the server has asked for a pause.
	ExclusionPause Exclusion = "pause"
	// ExclusionRate means that this router has no request left within the rate that the server announced.
	ExclusionRate Exclusion = "rate limit"
	// ExclusionVersion means that the request uses servers of another version.
	ExclusionVersion Exclusion = "another version"
	// ExclusionBody means that the server has no room for the body of the request.
	ExclusionBody Exclusion = "no room for the body"
)

// ExcludedServer is a server that may not get the request.
type ExcludedServer struct {
	Server  BackendServerName `json:"server"`
	Zone    ZoneName          `json:"zone"`
	Version VersionName       `json:"version,omitempty"`
	Reason  Exclusion         `json:"reason"`
	// Until is the end of the pause, or when the server takes the next request of this router within its
	// rate; zero if there is none.
	Until time.Time `json:"until,omitzero"`
}
