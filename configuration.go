package amaranthtide

import "time"

// ServiceName names a group of backend servers that serve the same requests.
type ServiceName string

// CallerKey is the secret that authenticates a caller for a workspace.
type CallerKey string

// Configuration is one complete version of the configuration that operators
// declared. It is immutable.
type Configuration struct {
	Revision Revision
	Rules    []Rule
	Services []ServiceSpec
	// Keys holds all valid caller keys. If it is nil, requests need no key.
	Keys   map[CallerKey]Grant
	Limits CallerLimits
}

// Rule defines how requests are served whose host is Host and whose path begins
// with Prefix.
type Rule struct {
	Name   RouteName
	Host   string
	Prefix string
	// Splits are the services that share the requests in proportion to their weights.
	Splits []Split
	// Repeat tells whether a request may run again after it was sent.
	Repeat Repeat
	// Timeout bounds the time until a request has its complete answer.
	Timeout time.Duration
	// Objective is the target for the time until the answer, or the first event of a
	// stream.
	Objective time.Duration
	// PauseObjective is the target for the time between the events of a stream.
	PauseObjective time.Duration
	// Priority ranks the rule's requests; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the number of servers that may run one request.
	MaxAttempts int
	// Public marks a rule whose requests need no key.
	Public bool
	// Stream marks a rule whose answers are event streams.
	Stream bool
}

// Repeat tells whether a request may run again after it was sent to a server.
type Repeat uint8

// The values of Repeat.
const (
	// RepeatNever allows at most one run.
	RepeatNever Repeat = iota
	// RepeatAlways allows another run until the caller has received part of the answer.
	RepeatAlways
	// RepeatResume also allows another server to continue a stream.
	RepeatResume
)

// Split is one service of a rule with its weight.
type Split struct {
	Service ServiceName
	Weight  int
}

// ServiceSpec holds the settings that all servers of one service share.
type ServiceSpec struct {
	Name ServiceName
	// ColdRequestsPerSecond bounds the requests per second to a cold server; 0 means that
	// the service's servers are never cold.
	ColdRequestsPerSecond float64
	// Engine marks a service of model engines, which cache prompts in memory.
	Engine bool
	// Slots is the number of requests that each engine runs at once, if the engine itself
	// doesn't say; 0 is unknown.
	Slots int
	// CacheTokens is the number of tokens that the memory of each engine holds; 0 is unknown.
	CacheTokens int
	// Connections is the number of connections that each server accepts from all routers
	// together; 0 is unknown.
	Connections int
}

// Grant holds the workspace and the priority of a caller key.
type Grant struct {
	Workspace WorkspaceName
	// Priority overrides the priority of the rule.
	Priority Option[int]
}

// CallerLimits bounds the requests of callers. A zero field sets no limit.
type CallerLimits struct {
	// BodyBytes is the largest size of a request body.
	BodyBytes int
}
