package mesh

import (
	"sync/atomic"

	"amaranthtide/protocol/frame"
)

// Traffic counts frames and their bytes, including frame headers but not TCP and IP
// headers.
type Traffic struct {
	Frames uint64
	Bytes  uint64
}

// Stats holds counters since the Mesh was created.
type Stats struct {
	// ControlSent and ControlReceived are keyed by topic. Received messages of topics
	// without a subscription are counted under "".
	ControlSent     map[string]Traffic
	ControlReceived map[string]Traffic
	// ControlDropped counts, by topic, the messages dropped because a peer is slow or
	// can't be reached or because a subscriber is slow.
	ControlDropped map[string]uint64
	// ForwardSent and ForwardReceived count the frames of streams.
	ForwardSent     Traffic
	ForwardReceived Traffic
	// BytesSent and BytesReceived count all bytes, including keepalive frames.
	// BytesSent excludes the handshakes.
	BytesSent     uint64
	BytesReceived uint64
	// LateFrames counts repeated frames and frames of ended streams.
	LateFrames uint64
	// Connections is the number of open connections, dialled and accepted.
	Connections int
}

// counters holds the counters of one connection.
type counters struct {
	forwardFramesReceived atomic.Uint64
	forwardBytesReceived  atomic.Uint64
	bytesSent             atomic.Uint64
	bytesReceived         atomic.Uint64
	lateFrames            atomic.Uint64
}

// topicCounters holds the counters of one topic.
type topicCounters struct {
	framesSent     atomic.Uint64
	bytesSent      atomic.Uint64
	framesReceived atomic.Uint64
	bytesReceived  atomic.Uint64
	dropped        atomic.Uint64
}

// countersOf returns the counters of a topic, which it creates if needed.
func (m *Mesh) countersOf(name string) *topicCounters {
	var t *topicCounters
	m.topics.Update(name, func(v *topicCounters, ok bool) (*topicCounters, bool) {
		if !ok {
			v = &topicCounters{}
		}
		t = v
		return v, true
	})
	return t
}

func (t *topicCounters) countSent(bytes int) {
	t.framesSent.Add(1)
	t.bytesSent.Add(uint64(bytes))
}

func (t *topicCounters) countReceived(f frame.Frame) {
	t.framesReceived.Add(1)
	t.bytesReceived.Add(uint64(f.Size()))
}

// Stats returns the current counters.
func (m *Mesh) Stats() Stats {
	m.statsMu.Lock()
	defer m.statsMu.Unlock()
	s := m.closedStats
	for _, c := range m.allConnections() {
		s.add(c)
		s.Connections++
	}
	s.ControlSent, s.ControlReceived = make(map[string]Traffic), make(map[string]Traffic)
	s.ControlDropped = make(map[string]uint64)
	m.topics.Range(func(name string, t *topicCounters) bool {
		s.ControlSent[name] = Traffic{t.framesSent.Load(), t.bytesSent.Load()}
		s.ControlReceived[name] = Traffic{t.framesReceived.Load(), t.bytesReceived.Load()}
		s.ControlDropped[name] = t.dropped.Load()
		return true
	})
	return s
}

// removeConnection removes a closed connection and adds its counters to closedStats.
func (m *Mesh) removeConnection(c *connection) {
	m.statsMu.Lock()
	defer m.statsMu.Unlock()
	m.connections.Delete(c.id)
	m.closedStats.add(c)
}

func (s *Stats) add(c *connection) {
	sent := c.writer.streamTraffic()
	s.ForwardSent.Frames += sent.Frames
	s.ForwardSent.Bytes += sent.Bytes
	s.ForwardReceived.Frames += c.counters.forwardFramesReceived.Load()
	s.ForwardReceived.Bytes += c.counters.forwardBytesReceived.Load()
	s.BytesSent += c.counters.bytesSent.Load()
	s.BytesReceived += c.counters.bytesReceived.Load()
	s.LateFrames += c.counters.lateFrames.Load()
}
