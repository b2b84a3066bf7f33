package mesh

// controlQueues holds the encoded control messages that wait to be sent to one peer,
// in one bounded queue per topic.
type controlQueues struct {
	maxFrames int
	maxBytes  int
	topics    []controlQueue
}

type controlQueue struct {
	topic  string
	frames [][]byte
	bytes  int
}

// push queues a frame and returns the number of old frames dropped to make space.
func (q *controlQueues) push(topic string, frame []byte) (dropped int) {
	t := q.topicQueue(topic)
	t.frames = append(t.frames, frame)
	t.bytes += len(frame)
	for len(t.frames) > q.maxFrames || (t.bytes > q.maxBytes && len(t.frames) > 1) {
		t.bytes -= len(t.frames[0])
		t.frames[0] = nil
		t.frames = t.frames[1:]
		dropped++
	}
	return dropped
}

func (q *controlQueues) topicQueue(topic string) *controlQueue {
	for i := range q.topics {
		if q.topics[i].topic == topic {
			return &q.topics[i]
		}
	}
	q.topics = append(q.topics, controlQueue{topic: topic})
	return &q.topics[len(q.topics)-1]
}

func (q *controlQueues) empty() bool {
	for _, t := range q.topics {
		if len(t.frames) > 0 {
			return false
		}
	}
	return true
}

// drainTo appends all frames to dst, empties the queues and counts the frames as sent.
func (q *controlQueues) drainTo(m *Mesh, dst []byte) []byte {
	for i := range q.topics {
		t := &q.topics[i]
		for _, f := range t.frames {
			dst = append(dst, f...)
			m.countersOf(t.topic).countSent(len(f))
		}
		t.clear()
	}
	return dst
}

// discard empties the queues and counts their frames as dropped.
func (q *controlQueues) discard(m *Mesh) {
	for i := range q.topics {
		t := &q.topics[i]
		m.countersOf(t.topic).dropped.Add(uint64(len(t.frames)))
		t.clear()
	}
}

func (t *controlQueue) clear() {
	clear(t.frames)
	t.frames, t.bytes = t.frames[:0], 0
}
