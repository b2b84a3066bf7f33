package gateway

import (
	"amaranthtide"
	"amaranthtide/state/feed"
	"amaranthtide/state/outcomes"
	"amaranthtide/state/traffic"
	"amaranthtide/transport/direct"
	"amaranthtide/transport/follow"
	"amaranthtide/transport/peers"
	"amaranthtide/transport/rollout"
)

// newRollouts creates the runner of rollouts if the deployment has any.
func (g *Gateway) newRollouts(incarnation amaranthtide.Incarnation, rows *feed.Tables, trafficCounter *traffic.Counter) {
	opts := g.opts
	if !opts.Rollouts.Enabled() {
		return
	}
	g.rollouts = rollout.New(rollout.Options{
		VM: opts.Entry.VM, Incarnation: incarnation, Limits: opts.Rollouts, Recorder: opts.RolloutRecorder, Traffic: trafficCounter, Configuration: g.configuration,
		Rows: rows, DeclaredTable: opts.DeclaredTable, RolloutTable: opts.RolloutTable, Observe: g.observeVersion, Logger: opts.Logger.Named("rollout"),
	})
}

// registerShares registers the metric of the shares that new versions get.
func (g *Gateway) registerShares() error {
	if g.rollouts == nil {
		return nil
	}
	return g.meter.LabeledGauge("amaranthtide.rollout.share", "Part of a service's requests that the new version of its last rollout gets.", "service", func() map[string]float64 {
		shares := make(map[string]float64)
		for service, share := range g.rollouts.Shares() {
			shares[string(service)] = share
		}
		return shares
	})
}

func (g *Gateway) observeVersion(in amaranthtide.Instance, o outcomes.Outcome) {
	g.meter.RecordVersion(in, o.Duration, o.Failed)
}

// tables returns the tables of the platform's feed that the router follows.
func (g *Gateway) tables() []amaranthtide.FeedTable {
	tables := []amaranthtide.FeedTable{g.opts.PolledTable, g.opts.DeclaredTable, g.opts.RegistryTable}
	if g.rollouts != nil {
		tables = append(tables, g.opts.RolloutTable)
	}
	return tables
}

// rolloutTable returns the table with the states of rollouts, empty if the deployment has none.
func (g *Gateway) rolloutTable() amaranthtide.FeedTable {
	if g.rollouts == nil {
		return ""
	}
	return g.opts.RolloutTable
}

// Without a preview, explanations would show the servers of repeated requests.
var _ direct.Previewer = (*rollout.Runner)(nil)

// versions, rolloutRows and rolloutMessages return the runner for the components that use it, nil if
// the deployment has no rollouts: a nil *rollout.Runner in an interface would not be nil.
func (g *Gateway) versions() direct.Versions {
	if g.rollouts == nil {
		return nil
	}
	return g.rollouts
}

func (g *Gateway) rolloutRows() follow.Rollouts {
	if g.rollouts == nil {
		return nil
	}
	return g.rollouts
}

func (g *Gateway) rolloutMessages() peers.Rollouts {
	if g.rollouts == nil {
		return nil
	}
	return g.rollouts
}
