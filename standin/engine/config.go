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

// Config is what a Server needs. The zero value is usable.
type Config struct {
	// Addr is a loopback address; the zero value is 127.0.0.1 with any port.
	Addr netip.AddrPort
	// Model is the only model served; empty serves all.
	Model amaranthtide.ModelName
	// Capacity is the number of requests that run at once.
	Capacity int
	// QueueLimit is the number of requests that wait at a warm engine; 0 is four
	// times Capacity.
	QueueLimit int
	// ColdLimit is the number of requests borne at boot; 0 is Capacity.
	ColdLimit int
	// Warmup is the time from cold to warm; 0 means never cold.
	Warmup time.Duration
	// RecoverTime is the time in which the engine is away after it fell over or was
	// rebooted.
	RecoverTime time.Duration
	// TokenInterval is the time of a decoding step with one request.
	TokenInterval time.Duration
	// BatchSlowdown is by how much a full batch lengthens a step.
	BatchSlowdown float64
	// PrefillTokensPerSecond is the speed at which uncached prompt tokens are read.
	PrefillTokensPerSecond float64
	// CacheTokens is the size of the prefix cache.
	CacheTokens int
	// ReportLag is the age of load reports.
	ReportLag time.Duration
	// CheckFencing refuses orders with an old fencing number.
	CheckFencing bool
	// OrderTime is the time until an order takes effect.
	OrderTime time.Duration
	// NoResume offers no resumption of streams.
	NoResume bool
	// ResumeGrace is the time in which a stream without a reader can be resumed.
	ResumeGrace time.Duration
	// Seed seeds the choice of faults.
	Seed   uint64
	Faults Faults
	// OnAdmit is called with the time and the load after each admission, and must be
	// short: it runs under the engine's lock. It may be nil.
	OnAdmit func(now time.Time, load int)
	// OnRun is called right before OnAdmit, with the boot and the xxHash64 value of the
	// admitted request's body. It may be nil.
	OnRun func(boot amaranthtide.BootID, body uint64)
	// OnLoad is called with the load after each change of it and after each boot, before
	// OnRun and OnAdmit. It must be short like OnAdmit and may be nil.
	OnLoad func(load int)
}

// Faults spoil answers.
type Faults struct {
	// CutAfterBytes breaks the first connection of each attempt after that many bytes
	// of the body; 0 is off.
	CutAfterBytes int `json:"cutAfterBytes"`
	// CutShare is the share of attempts, 0 to 1, whose first connection breaks at a
	// random event.
	CutShare float64 `json:"cutShare"`
	// CrossShare is the share of answers that carry another attempt's identifier.
	CrossShare float64 `json:"crossShare"`
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
