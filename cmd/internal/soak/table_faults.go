package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"amaranthtide/platform/standin"
)

const (
	minTableFault = 500 * time.Millisecond
	maxTableFault = 12 * time.Second
	// readerShare is the share of the faults of one router that hit the one that reads for the fleet,
	// allRoutersShare that of the faults that hit all routers.
	readerShare     = 0.5
	allRoutersShare = 0.15
)

// refusableTables are the tables of which the calls of a router may fail. Changes of the operators' table
// are noticed by callers.
var refusableTables = []string{standin.TableOperator, standin.TableOperator, standin.TableServers, standin.TableRouters}

// refuseTable makes calls for one table fail while the store serves the others.
func (s *soak) refuseTable(ctx context.Context, random *rand.Rand) {
	table := refusableTables[random.IntN(len(refusableTables))]
	status := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusInternalServerError, standin.Silent}
	routers := []*router{s.randomRouter(random)}
	faults := &s.tableFaults
	switch draw := random.Float64(); {
	case draw < allRoutersShare:
		routers, faults = s.routers, &s.storeFaults
	case draw < allRoutersShare+(1-allRoutersShare)*readerShare:
		routers = []*router{s.reader()}
	}
	end := faults.begin(time.Now())
	chosen := status[random.IntN(len(status))]
	for _, r := range routers {
		r.store.Refuse(table, chosen)
	}
	s.pause(ctx, random, minTableFault, maxTableFault)
	for _, r := range routers {
		r.store.Refuse(table, 0)
	}
	end(time.Now())
}

// reader returns the router that has called the store for the list of servers last.
func (s *soak) reader() *router {
	reader := s.routers[0]
	for _, r := range s.routers {
		if r.store.LastCall(standin.TableServers).After(reader.store.LastCall(standin.TableServers)) {
			reader = r
		}
	}
	return reader
}
