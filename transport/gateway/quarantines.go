package gateway

import (
	"context"
	"time"

	"amaranthtide"
	"amaranthtide/transport/crashes"
	"amaranthtide/transport/quarantine"
)

// newCrashes creates the tracker of crashes, and the recorder of quarantines if the deployment stores
// them.
func (g *Gateway) newCrashes() {
	logger := g.opts.Logger
	opts := crashes.Options{VM: g.opts.Entry.VM, Logger: logger.Named("crashes")}
	if g.opts.QuarantineStore == nil {
		g.crashes = crashes.New(opts)
		return
	}
	opts.OnChanged = func(now time.Time, service amaranthtide.ServiceName, released []amaranthtide.PromptPart) {
		g.quarantines.Changed(now, service, released)
	}
	g.crashes = crashes.New(opts)
	g.quarantines = quarantine.New(quarantine.Options{
		VM: g.opts.Entry.VM, Store: g.opts.QuarantineStore, Ledgers: g.crashes, Logger: logger.Named("quarantine"),
	})
	g.quarantines.Start()
}

// loadQuarantines returns what the follower calls when the router starts from the platform's tables,
// nil if the deployment doesn't store quarantines.
func (g *Gateway) loadQuarantines() func(context.Context) {
	if g.quarantines == nil {
		return nil
	}
	return g.quarantines.Load
}

// storeRestored makes the quarantines and the records of streams be written again that the store has lost.
func (g *Gateway) storeRestored(table amaranthtide.FeedTable) {
	if g.quarantines != nil && table == g.opts.PolledTable {
		g.quarantines.StoreRestored()
	}
	if g.streams != nil && table == g.opts.PolledTable {
		g.streams.StoreRestored()
	}
}

// setRouters passes the known routers to the components that depend on them.
func (g *Gateway) setRouters(routers []amaranthtide.VMName) {
	g.dispatcher.SetRouters(routers)
	if g.quarantines != nil {
		g.quarantines.SetRouters(routers)
	}
}
