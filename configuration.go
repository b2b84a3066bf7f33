package amaranthtide

import "time"

// ServiceName names a group of backend servers that serve the same requests.
type ServiceName string

// CallerKey is the secret with which a caller proves which workspace it acts for.
type CallerKey string

// Configuration is one whole version of what operators declared. It is immutable.
type Configuration struct {
	Revision Revision
	Rules    []Rule
	Services []ServiceSpec
	// Keys holds all caller keys in force. If it is nil, requests need no key.
	Keys   map[CallerKey]Grant
	Limits CallerLimits
}

// Rule says how requests of one host whose path has the prefix are served.
type Rule struct {
	Name   RouteName
	Host   string
	Prefix string
	// Splits are the services that share the requests, by weight.
	Splits []Split
	// Repeat says what may be done with a request that has been sent.
	Repeat Repeat
	// Timeout is the longest time that a request may go without its final answer.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a stream,
	// is on time.
	Objective time.Duration
	// Priority ranks the rule's requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of servers on which one request may run.
	MaxAttempts int
	// Public marks a rule whose requests need no key.
	Public bool
	// Stream marks answers that are streams of events.
	Stream bool
}

// Repeat says what may be done with a request after it was sent to a server.
type Repeat uint8

// The values of Repeat.
const (
	// RepeatNever allows one run at most.
	RepeatNever Repeat = iota
	// RepeatAlways allows another run at any time before the answer is shown.
	RepeatAlways
	// RepeatResume also allows a stream to go on at another server.
	RepeatResume
)

// Split is one service of a rule with its weight.
type Split struct {
	Service ServiceName
	Weight  int
}

// ServiceSpec is what servers of one service have in common.
type ServiceSpec struct {
	Name ServiceName
	// ColdPerSecond is the rate of requests that a cold server bears; 0 means that
	// its servers are never cold.
	ColdPerSecond float64
	// Engine marks model engines, which keep prompts in memory.
	Engine bool
}

// Grant is what a caller key allows.
type Grant struct {
	Workspace WorkspaceName
	// Priority goes before that of the rule.
	Priority Option[int]
}

// CallerLimits bound what a caller may send. Zero values are no limits.
type CallerLimits struct {
	BodyBytes int
}
