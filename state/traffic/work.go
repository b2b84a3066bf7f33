package traffic

import (
	"slices"
	"time"

	"amaranthtide"
)

// ownWork is what this router has in flight at one server.
type ownWork struct {
	requests int
	// promptTokens are the tokens of prompts that the server has yet to read.
	promptTokens int
	bodyBytes    int64
}

// add adds w, which may be negative, to what is in flight at the server.
func (c *Counter) add(server amaranthtide.BackendServerName, w ownWork) {
	c.own.Update(server, func(sum ownWork, _ bool) (ownWork, bool) {
		sum.requests += w.requests
		sum.promptTokens += w.promptTokens
		sum.bodyBytes += w.bodyBytes
		return sum, sum != ownWork{}
	})
}

// AddPrompt counts tokens of a prompt that the server has yet to read; negative ones have been
// read, or won't be.
func (c *Counter) AddPrompt(server amaranthtide.BackendServerName, tokens int) {
	c.add(server, ownWork{promptTokens: tokens})
}

// AddBody counts the bytes of a request's body that the server holds; negative ones have been
// released.
func (c *Counter) AddBody(server amaranthtide.BackendServerName, bytes int64) {
	c.add(server, ownWork{bodyBytes: bytes})
}

// MostBodyBytes returns the known size of the bodies at the server that holds most.
func (c *Counter) MostBodyBytes(now time.Time) int64 {
	var most int64
	for _, l := range c.Totals(now) {
		most = max(most, l.BodyBytes)
	}
	return most
}

// Server is what is known of one server.
type Server struct {
	// Load is as Counter.Load returns it.
	Load int
	// Slots is the number of requests that the server runs at a time, as it last reported; 0 is
	// unknown.
	Slots int
	// PromptTokens are the tokens of this router's requests that the server has yet to read. Those
	// of other routers aren't known: a prompt is usually read before a report of it could arrive.
	PromptTokens int
	// BodyBytes is the size of the bodies that the server holds for all routers, OwnBodyBytes for
	// this one.
	BodyBytes, OwnBodyBytes int64
	// Pace is the recent pace, from the server's reports to this router and to the others.
	Pace amaranthtide.PaceEstimate
}

// Server returns what is known of a server.
func (c *Counter) Server(now time.Time, server amaranthtide.BackendServerName) Server {
	own, _ := c.own.Get(server)
	last, _ := c.serverReports.Get(server)
	others := c.otherRouterLoads(now)
	other := others.loads[server]
	var pace amaranthtide.PaceMean
	pace.Add(last.pace.After(now.Sub(last.at)))
	pace.Add(other.Pace.After(now.Sub(others.at)))
	return Server{
		Load: last.loadAt(now, own.requests+other.InFlight), Slots: last.slots, PromptTokens: own.promptTokens,
		BodyBytes: own.bodyBytes + other.BodyBytes, OwnBodyBytes: own.bodyBytes, Pace: pace.Estimate(),
	}
}

// ReportAge returns the age of the last report of a server about itself, and false if there is none.
func (c *Counter) ReportAge(now time.Time, server amaranthtide.BackendServerName) (time.Duration, bool) {
	last, ok := c.serverReports.Get(server)
	return now.Sub(last.at), ok
}

// SlowServers returns the number of servers that are slower than usual.
func (c *Counter) SlowServers(now time.Time) int {
	n := 0
	for _, l := range c.Totals(now) {
		if l.Pace.Expected() > amaranthtide.SlowPace {
			n++
		}
	}
	return n
}

// loadAt returns the load of a server at which the routers know of some requests: these or, as long
// as the server's own report is recent, the load in that report if it is higher.
func (r receivedServerReport) loadAt(now time.Time, known int) int {
	if now.Sub(r.at) <= maxServerReportAge {
		return max(known, r.load)
	}
	return known
}

// followedBy returns the state after another report of the server.
func (r receivedServerReport) followedBy(now time.Time, next amaranthtide.ServerReport) receivedServerReport {
	var pace amaranthtide.PaceMean
	pace.Add(r.pace.After(now.Sub(r.at)))
	pace.Add(amaranthtide.PaceEstimate{Pace: next.Pace})
	slots := next.Slots
	if slots == 0 {
		slots = r.slots
	}
	return receivedServerReport{at: now, load: next.InFlight + next.Waiting, slots: slots, pace: pace.Estimate()}
}

// loadSums adds up the loads that several routers reported.
type loadSums map[amaranthtide.BackendServerName]loadSum

type loadSum struct {
	inFlight  int
	bodyBytes int64
	pace      amaranthtide.PaceMean
	limit     amaranthtide.ServerLimit
}

// add adds a load that was reported some time ago.
func (s loadSums) add(l amaranthtide.ServerLoad, age time.Duration) {
	sum := s[l.Server]
	sum.inFlight += l.InFlight
	sum.bodyBytes += l.BodyBytes
	sum.pace.Add(l.Pace.After(age))
	if limit := l.Limit.After(age); limit.Newer(sum.limit) {
		sum.limit = limit
	}
	s[l.Server] = sum
}

func (s loadSum) load(server amaranthtide.BackendServerName) amaranthtide.ServerLoad {
	return amaranthtide.ServerLoad{Server: server, InFlight: s.inFlight, BodyBytes: s.bodyBytes, Pace: s.pace.Estimate(), Limit: s.limit}
}

// sorted returns the sums ordered by server. Servers of which nothing is known are omitted.
func (s loadSums) sorted() []amaranthtide.ServerLoad {
	out := make([]amaranthtide.ServerLoad, 0, len(s))
	for name, sum := range s {
		if l := sum.load(name); l.InFlight > 0 || l.BodyBytes > 0 || l.Pace.Pace > 0 || l.Limit.Known() {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, byServer)
	return out
}
