package engine

import (
	"cmp"
	"net/netip"
	"time"

	"amaranthtide"
)

// Defaults of Config.
const (
	DefaultCapacity               = 16
	DefaultRecoverTime            = 200 * time.Millisecond
	DefaultTokenInterval          = 20 * time.Millisecond
	DefaultBatchSlowdown          = 0.5
	DefaultPrefillTokensPerSecond = 20000
	DefaultCacheTokens            = 1 << 20
	DefaultResumeGrace            = 2 * time.Second
)

// Config configures a Server. The zero value selects the defaults.
type Config struct {
	// Addr is an IPv4 loopback address; the zero value selects 127.0.0.1 and a free port.
	Addr netip.AddrPort
	// Model is the only model served; if empty, every model is served.
	Model amaranthtide.ModelName
	// Capacity is the number of requests that run concurrently.
	Capacity int
	// QueueLimit is the number of requests that can wait at a warm engine; 0 selects
	// four times Capacity.
	QueueLimit int
	// ColdLimit is the greatest load that the engine survives right after a boot; 0
	// selects Capacity.
	ColdLimit int
	// Warmup is the time from boot until the engine is warm; 0 means that it boots warm.
	Warmup time.Duration
	// RecoverTime is how long the engine is down after an overload crash or a reboot.
	RecoverTime time.Duration
	// TokenInterval is the duration of a decoding step with one request.
	TokenInterval time.Duration
	// BatchSlowdown is the relative increase of a step's duration with a full batch.
	BatchSlowdown float64
	// PrefillTokensPerSecond is the prefill rate for prompt tokens that are not cached.
	PrefillTokensPerSecond float64
	// CacheTokens is the size of the prefix cache in tokens.
	CacheTokens int
	// ReportLag is the age of the state in load reports.
	ReportLag time.Duration
	// CheckFencing rejects orders with an outdated fencing number.
	CheckFencing bool
	// OrderDelay is the delay before an order takes effect.
	OrderDelay time.Duration
	// NoResume disables the resumption of streams.
	NoResume bool
	// ResumeGrace is how long a stream without a reader can be resumed.
	ResumeGrace time.Duration
	// Seed seeds the random generator that selects the attempts with faults.
	Seed   uint64
	Faults Faults
	// OnAdmit is called with the time and the load after each admission. It runs under
	// the engine's lock and must return quickly. It may be nil.
	OnAdmit func(now time.Time, load int)
	// OnRun is called right before OnAdmit, with the boot identifier and the xxHash64
	// value of the admitted request's body. It may be nil.
	OnRun func(boot amaranthtide.BootID, body uint64)
	// OnLoad is called with the load whenever it changes and after each boot, before
	// OnRun and OnAdmit. Like OnAdmit, it must return quickly and may be nil.
	OnLoad func(load int)
}

// Faults are the faults that the engine injects into its answers.
type Faults struct {
	// CutAfterBytes closes the first connection of each attempt after that many bytes
	// of the body; 0 disables this.
	CutAfterBytes int `json:"cutAfterBytes"`
	// CutShare is the share of attempts, 0 to 1, whose first connection is closed at a
	// random point of the body.
	CutShare float64 `json:"cutShare"`
	// WrongAttemptShare is the share of answers, 0 to 1, whose header names another
	// attempt.
	WrongAttemptShare float64 `json:"crossShare"`
}

func (c Config) withDefaults() Config {
	c.Capacity = cmp.Or(c.Capacity, DefaultCapacity)
	c.QueueLimit = cmp.Or(c.QueueLimit, 4*c.Capacity)
	c.ColdLimit = cmp.Or(c.ColdLimit, c.Capacity)
	c.RecoverTime = cmp.Or(c.RecoverTime, DefaultRecoverTime)
	c.TokenInterval = cmp.Or(c.TokenInterval, DefaultTokenInterval)
	c.BatchSlowdown = cmp.Or(c.BatchSlowdown, DefaultBatchSlowdown)
	c.PrefillTokensPerSecond = cmp.Or(c.PrefillTokensPerSecond, DefaultPrefillTokensPerSecond)
	c.CacheTokens = cmp.Or(c.CacheTokens, DefaultCacheTokens)
	c.ResumeGrace = cmp.Or(c.ResumeGrace, DefaultResumeGrace)
	return c
}
