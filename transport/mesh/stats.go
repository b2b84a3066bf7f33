package mesh

import (
	"sync/atomic"

	"amaranthtide/protocol/frame"
)

// Traffic counts frames and their bytes, frame headers included, TCP and IP
// headers not.
type Traffic struct {
	Frames uint64
	Bytes  uint64
}

// Stats are counts since the Mesh was made.
type Stats struct {
	// ControlSent and ControlReceived are by topic. Messages of topics that
	// nobody here has subscribed to count as received under "".
	ControlSent     map[string]Traffic
	ControlReceived map[string]Traffic
	// ControlDropped counts by topic the messages dropped for a peer that is slow
	// or can't be reached, and those dropped for a slow subscriber.
	ControlDropped map[string]uint64
	// ForwardSent and ForwardReceived count the frames of streams.
	ForwardSent     Traffic
	ForwardReceived Traffic
	// BytesSent and BytesReceived count everything after the handshakes,
	// keepalive frames included.
	BytesSent     uint64
	BytesReceived uint64
	// LateFrames counts frames of streams that had ended, and repeated ones.
	LateFrames uint64
	// Connections is the number of open connections of both directions.
	Connections int
}

// counters are the counts of one connection.
type counters struct {
	forwardFramesReceived atomic.Uint64
	forwardBytesReceived  atomic.Uint64
	bytesSent             atomic.Uint64
	bytesReceived         atomic.Uint64
	lateFrames            atomic.Uint64
}

// topicCounters are the counts of one topic.
type topicCounters struct {
	framesSent     atomic.Uint64
	bytesSent      atomic.Uint64
	framesReceived atomic.Uint64
	bytesReceived  atomic.Uint64
	dropped        atomic.Uint64
}

// countersOf returns the counters of a countersOf.
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

// Stats returns the counts so far.
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

// removeConnection moves the counts of a connection that has ended to those of the past.
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
