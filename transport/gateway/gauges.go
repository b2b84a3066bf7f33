package gateway

import (
	"time"

	"amaranthtide"
	"amaranthtide/state/traffic"
	"amaranthtide/transport/direct"
	"amaranthtide/transport/ingress"
)

// registerGauges registers the metrics whose values are read at collection.
func (g *Gateway) registerGauges(trafficCounter *traffic.Counter) error {
	gauges := map[string]struct {
		description string
		read        func() int64
	}{
		"amaranthtide.configuration.revision": {"Revision of the configuration in force.", func() int64 { return int64(g.configuration.Revision()) }},
		"amaranthtide.servers":                {"Backend servers that may get work.", func() int64 { return int64(g.servers.Len()) }},
		"amaranthtide.quarantined.parts":      {"Parts of prompts, and single requests, that are rejected because they crash servers.", func() int64 { return g.crashes.Quarantined(time.Now()) }},
		"amaranthtide.bodies.held":            {"Bytes of the bodies of requests that are held.", func() int64 { return g.bodies.Held() }},
		"amaranthtide.servers.slow":           {"Backend servers whose machines are slower than usual.", func() int64 { return int64(trafficCounter.SlowServers(time.Now())) }},
		"amaranthtide.servers.limited":        {"Backend servers that limit the requests of all routers.", func() int64 { return int64(trafficCounter.LimitedServers(time.Now())) }},
		"amaranthtide.servers.bodies.most":    {"Bytes of request bodies in flight at the backend server with the most, from all routers.", func() int64 { return trafficCounter.MostBodyBytes(time.Now()) }},
		"amaranthtide.feeds.away":             {"Tables of the platform's feed that can't be read.", func() int64 { return g.unreadableTables(time.Now()) }},
		"amaranthtide.feed.view.age":          {"Milliseconds since the platform's feed last confirmed this router's view; -1 if it never has.", func() int64 { return g.viewAgeMillis(time.Now()) }},
		"amaranthtide.feed.reading":           {"1 if this router reads the platform's feed and the feed answers.", func() int64 { return g.reading(time.Now()) }},
		"amaranthtide.store.era":              {"Era of the platform's store that this router's view is of: how often the store has come back from an older copy.", func() int64 { return int64(g.storeEra()) }},
		"amaranthtide.store.rows.kept":        {"Rows that hold against those of a store that has come back from an older copy.", func() int64 { return int64(g.follower.Kept()) }},
		"amaranthtide.routers.trusted":        {"Other routers of the zone that leave no question unanswered.", func() int64 { return int64(g.peers.ResponsivePeers(time.Now())) }},
	}
	for name, gauge := range gauges {
		if err := g.meter.Gauge(name, gauge.description, gauge.read); err != nil {
			return err
		}
	}
	err := g.meter.LabeledGauge("amaranthtide.retries.left", "Retries that this router may spend at once.", "service", g.retriesLeft)
	if err != nil {
		return err
	}
	err = g.meter.LabeledGauge("amaranthtide.feed.table.age", "Milliseconds since this router's own calls to the platform's feed last confirmed its copy of the table.", "table", g.tableAges)
	if err != nil {
		return err
	}
	if g.opts.LoadShedding {
		if err := g.registerAdmission(); err != nil {
			return err
		}
	}
	if err := ingress.RegisterMetrics(g.meter, g.guard); err != nil {
		return err
	}
	err = g.meter.Counter("amaranthtide.server.crashes", "Backend servers that crashed before they had answered a request of this router.", func() int64 { return g.dispatcher.Crashes() })
	if err != nil {
		return err
	}
	err = g.meter.Counter("amaranthtide.streams.stalled", "Streams that stalled and were given to another server.", func() int64 { return g.dispatcher.Stalls() })
	if err != nil {
		return err
	}
	err = g.meter.Counter("amaranthtide.requests.limited", "Requests that waited or were rejected because of the limits of backend servers.", func() int64 { return g.dispatcher.HeldByLimits() })
	if err != nil || g.opts.DroppedLogLines == nil {
		return err
	}
	return g.meter.Counter("amaranthtide.log.dropped", "Log lines that were dropped.", func() int64 { return int64(g.opts.DroppedLogLines()) })
}

// registerAdmission registers the metrics of the admission control.
func (g *Gateway) registerAdmission() error {
	counters := map[string]struct {
		description string
		read        func(direct.AdmissionCounts) map[string]float64
	}{
		"amaranthtide.admission.admitted": {"Requests that the admission control admitted.", func(c direct.AdmissionCounts) map[string]float64 { return c.Admitted }},
		"amaranthtide.admission.delayed":  {"Requests that waited for capacity.", func(c direct.AdmissionCounts) map[string]float64 { return c.Delayed }},
		"amaranthtide.admission.rejected": {"Requests that were rejected because there was no capacity for them.", func(c direct.AdmissionCounts) map[string]float64 { return c.Rejected }},
	}
	for name, counter := range counters {
		read := func() map[string]float64 { return counter.read(g.dispatcher.AdmissionCounts()) }
		if err := g.meter.LabeledCounter(name, counter.description, "priority", read); err != nil {
			return err
		}
	}
	return g.meter.LabeledGauge("amaranthtide.admission.load", "Requests at the engines in relation to their slots.", "service",
		func() map[string]float64 { return g.dispatcher.AdmissionLoad() })
}

// storeEra returns the era of the store that this router's list of servers is of.
func (g *Gateway) storeEra() amaranthtide.StoreEra {
	return g.rows.Version(g.opts.PolledTable).Or(amaranthtide.StoreVersion{}).Era()
}

func (g *Gateway) viewAgeMillis(now time.Time) int64 {
	view, ok := g.follower.View(now).Get()
	if !ok {
		return -1
	}
	return view.Age.Milliseconds()
}

func (g *Gateway) reading(now time.Time) int64 {
	if g.follower.Reading(now) {
		return 1
	}
	return 0
}

// unreadableTables returns the number of tables that neither this router nor another one
// that reaches it can read.
func (g *Gateway) unreadableTables(now time.Time) int64 {
	if g.follower.Stale(now) {
		return int64(len(g.tables()))
	}
	return 0
}

func (g *Gateway) tableAges() map[string]float64 {
	ages := make(map[string]float64)
	for table, age := range g.follower.TableAges(time.Now()) {
		ages[string(table)] = float64(age.Milliseconds())
	}
	return ages
}

func (g *Gateway) retriesLeft() map[string]float64 {
	left := make(map[string]float64)
	for service, n := range g.dispatcher.RetriesLeft(time.Now()) {
		left[string(service)] = n
	}
	return left
}
