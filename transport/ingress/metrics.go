package ingress

import (
	"amaranthtide/coordination/eviction"
	"amaranthtide/transport/metrics"
)

// RegisterMetrics registers metrics of what is held, refused and closed.
func RegisterMetrics(m *metrics.Meter, g *Guard) error {
	err := m.Gauge("amaranthtide.memory.held", "Bytes that are held for callers and servers.", g.memory.Held)
	if err != nil {
		return err
	}
	err = m.Gauge("amaranthtide.connections", "Open connections of callers, readiness checks and metrics.", func() int64 { return g.Stats().Open })
	if err != nil {
		return err
	}
	err = m.Counter("amaranthtide.connections.refused", "Connections that were refused because there were too many.", func() int64 { return g.Stats().Refused })
	if err != nil {
		return err
	}
	err = m.Counter("amaranthtide.memory.refused", "Times that there was no memory for the head or body of a request, or for a connection.", g.memory.Refused)
	if err != nil {
		return err
	}
	states := map[eviction.State]string{eviction.Idle: "idle", eviction.Receiving: "receiving", eviction.Sending: "sending"}
	return m.LabeledGauge("amaranthtide.connections.closed", "Connections that were closed because descriptors or memory ran short, or nothing was read.", "state", func() map[string]float64 {
		closed := make(map[string]float64)
		for state, n := range g.Stats().Closed {
			if name, ok := states[state]; ok {
				closed[name] = float64(n)
			}
		}
		return closed
	})
}
