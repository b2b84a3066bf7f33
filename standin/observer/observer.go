// Package observer monitors the simulated engines of one deployment and measures how
// the routers used them: the skew of the loads, requests that reached an engine out of
// service, and which engine ran which request. It uses no information from the routers.
//
// # Usage
//
//	o := observer.New()
//	e, err := engine.New(o.Watch("engine-1", engine.Config{Model: "m"}))
//	o.SetEngine("engine-1", e)
//	o.PutInService(time.Now(), "engine-1")
//	...
//	fmt.Println(o.Skew(), o.Runs(xxhash.Sum64(body)))
//
// # Skew
//
// After each admission at an engine in service, the mean load of the engines in service
// of the same model is computed, including that admission. The cap is
// max(floor(1.25*mean), ceil(mean)): loads are whole numbers and can't follow a mean
// below 1 or between whole numbers more closely. The skew is load/max(mean, cap/1.25),
// so that a load at the cap has a skew of at most 1.25. The plain skew is load/mean.
//
// An engine that enters service counts in the mean from its first admission on, at the
// latest after EnterDelay. Before that, routers need not know of it.
package observer

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"amaranthtide"
	"amaranthtide/standin/engine"
)

const (
	// EnterDelay is the time within which an accepted change takes effect at all routers.
	EnterDelay = 4 * time.Second
	// LeaveDelay is the time after which a backend server out of service must get no new
	// requests.
	LeaveDelay = 3 * time.Second

	// skewUnit scales skews to integers for the histogram.
	skewUnit      = 1000
	maxSkewUnits  = 100 * skewUnit
	skewPrecision = 3
)

// Observer monitors engines. It is safe for concurrent use. Engines call it while they
// hold their own locks, so it must not call an engine while it holds its lock.
type Observer struct {
	mu      sync.Mutex
	servers map[amaranthtide.BackendServerName]*server
	// runs is keyed by the xxHash64 value of the request body.
	runs    map[uint64]lastRun
	skew    Skew
	skews   *hdrhistogram.Histogram
	started time.Time
	// maxPerSecond is the maximum skew of each second since started.
	maxPerSecond []float64
	// meanSum is the sum of the mean loads at all admissions.
	meanSum float64
}

type server struct {
	engine *engine.Server
	model  amaranthtide.ModelName
	// capacity is the number of requests that run concurrently.
	capacity, load int
	inService      bool
	// joining is set from PutInService to the first admission. The server counts in the
	// mean from countsFrom on even if it is joining. leftAt is when it left service.
	joining            bool
	countsFrom, leftAt time.Time
}

// lastRun is the last admission of a request body and the number of its admissions.
type lastRun struct {
	server amaranthtide.BackendServerName
	boot   amaranthtide.BootID
	times  int
}

// Skew summarizes the admissions at engines in service, and the late admissions at
// engines out of service.
type Skew struct {
	// Max and P99 are the maximum and the 99th percentile of the skew. MaxPlain is the
	// maximum of the plain skew.
	Max      float64 `json:"max"`
	P99      float64 `json:"p99"`
	MaxPlain float64 `json:"plain"`
	// MaxLoad and MaxMean are the load and the mean at the admission with skew Max.
	MaxLoad    int     `json:"maxLoad"`
	MaxMean    float64 `json:"maxMean"`
	Admissions int     `json:"admissions"`
	// MeanLoad is the average of the mean loads at all admissions.
	MeanLoad float64 `json:"meanLoad"`
	// LateAdmissions counts the admissions at engines that had been out of service for
	// longer than LeaveDelay. MaxLateness is the longest of these times out of service.
	LateAdmissions int                   `json:"lateAdmissions"`
	MaxLateness    amaranthtide.Duration `json:"latest"`
}

// New returns an Observer that monitors no engines yet.
func New() *Observer {
	return &Observer{
		servers: make(map[amaranthtide.BackendServerName]*server),
		runs:    make(map[uint64]lastRun),
		skews:   hdrhistogram.New(1, maxSkewUnits, skewPrecision),
		started: time.Now(),
	}
}

// Watch registers an engine that is out of service and returns cfg with hooks that
// report to o.
func (o *Observer) Watch(name amaranthtide.BackendServerName, cfg engine.Config) engine.Config {
	s := &server{model: cfg.Model, capacity: cfg.Capacity, leftAt: time.Now()}
	if s.capacity == 0 {
		s.capacity = engine.DefaultCapacity
	}
	o.mu.Lock()
	o.servers[name] = s
	o.mu.Unlock()
	cfg.OnLoad = func(load int) {
		o.mu.Lock()
		s.load = load
		o.mu.Unlock()
	}
	cfg.OnRun = func(boot amaranthtide.BootID, body uint64) {
		o.mu.Lock()
		o.runs[body] = lastRun{name, boot, o.runs[body].times + 1}
		o.mu.Unlock()
	}
	cfg.OnAdmit = func(now time.Time, load int) {
		o.mu.Lock()
		o.recordAdmission(now, s, load)
		o.mu.Unlock()
	}
	return cfg
}

// SetEngine sets the engine that was started with the configuration from Watch.
func (o *Observer) SetEngine(name amaranthtide.BackendServerName, e *engine.Server) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.servers[name].engine = e
}

// PutInService records that engines enter service, so that the skew includes them. It
// ignores engines that are unknown or already in service.
func (o *Observer) PutInService(now time.Time, names ...amaranthtide.BackendServerName) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, name := range names {
		if s := o.servers[name]; s != nil && !s.inService {
			s.inService, s.joining, s.countsFrom = true, true, now.Add(EnterDelay)
		}
	}
}

// TakeOutOfService records that engines leave service. The skew no longer includes them,
// and admissions at them after LeaveDelay count as late.
func (o *Observer) TakeOutOfService(now time.Time, names ...amaranthtide.BackendServerName) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, name := range names {
		if s := o.servers[name]; s != nil && s.inService {
			s.inService, s.leftAt = false, now
		}
	}
}

// recordAdmission records one admission. The caller holds the lock.
func (o *Observer) recordAdmission(now time.Time, s *server, load int) {
	if !s.inService {
		if lateness := now.Sub(s.leftAt); lateness > LeaveDelay {
			o.skew.LateAdmissions++
			o.skew.MaxLateness = max(o.skew.MaxLateness, amaranthtide.Duration(lateness))
		}
		return
	}
	s.joining = false
	sum, n := o.totalLoad(now, s.model)
	mean := float64(sum) / float64(n)
	ratio := float64(load) / max(mean, LoadCap(sum, n)/amaranthtide.DefaultCapMultiple)
	o.skew.Admissions++
	o.meanSum += mean
	o.skew.MaxPlain = max(o.skew.MaxPlain, float64(load)/mean)
	if ratio > o.skew.Max {
		o.skew.Max, o.skew.MaxLoad, o.skew.MaxMean = ratio, load, mean
	}
	_ = o.skews.RecordValue(min(int64(ratio*skewUnit), maxSkewUnits))
	second := int(now.Sub(o.started) / time.Second)
	for len(o.maxPerSecond) <= second {
		o.maxPerSecond = append(o.maxPerSecond, 0)
	}
	o.maxPerSecond[second] = max(o.maxPerSecond[second], ratio)
}

// totalLoad returns the total load and the number of the servers of a model that count
// in the mean.
func (o *Observer) totalLoad(now time.Time, model amaranthtide.ModelName) (load, n int) {
	for _, s := range o.servers {
		if s.inService && s.model == model && (!s.joining || !now.Before(s.countsFrom)) {
			load += s.load
			n++
		}
	}
	return load, n
}

// LoadCap returns the maximum load of one server when n servers have a total load of sum.
func LoadCap(sum, n int) float64 {
	mean := float64(sum) / float64(n)
	return max(math.Floor(amaranthtide.DefaultCapMultiple*mean), math.Ceil(mean))
}

// Skew returns the summary of all admissions so far.
func (o *Observer) Skew() Skew {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.skew
	s.P99 = float64(o.skews.ValueAtPercentile(99)) / skewUnit
	s.MeanLoad = o.meanSum / float64(max(1, s.Admissions))
	return s
}

// SkewSeries returns the maximum skew of each second from the given time on. It is 0 for
// a second without an admission.
func (o *Observer) SkewSeries(from time.Time) []float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	first := min(max(0, int(from.Sub(o.started)/time.Second)), len(o.maxPerSecond))
	return append([]float64(nil), o.maxPerSecond[first:]...)
}

// Runs returns how often engines admitted the request whose body has the given xxHash64
// value.
func (o *Observer) Runs(body uint64) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runs[body].times
}

// CanReuseEngine reports whether the engine that ran the last request of a chat could
// also run the next one: it has not rebooted, is in service, and has a free slot within
// the cap. last is the xxHash64 value of the last request's body. held is the number of
// prompt tokens of the new body in the cache of that engine.
func (o *Observer) CanReuseEngine(now time.Time, last uint64, body []byte) (ok bool, held int) {
	e, boot, ok := o.lastEngine(now, last)
	if !ok || e.Boot() != boot {
		return false, 0
	}
	return true, e.CachedTokens(body)
}

func (o *Observer) lastEngine(now time.Time, last uint64) (*engine.Server, amaranthtide.BootID, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, ok := o.runs[last]
	if !ok {
		return nil, "", false
	}
	s := o.servers[r.server]
	if !s.inService || s.engine == nil {
		return nil, "", false
	}
	sum, n := o.totalLoad(now, s.model)
	hasRoom := s.load < s.capacity && float64(s.load+1) <= LoadCap(sum+1, max(n, 1))
	return s.engine, r.boot, hasRoom
}
