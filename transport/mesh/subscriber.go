package mesh

import (
	"context"
	"slices"
	"sync"

	watermill "github.com/ThreeDotsLabs/watermill/message"

	"amaranthtide/protocol/frame"
	"amaranthtide/protocol/message"
)

// Subscriber returns a subscriber of control messages. The metadata of a message holds
// the address of its sender under MetadataSender. Delivery is at most once:
// acknowledgements are ignored, and a subscription drops its oldest message when its
// queue is full. Close ends the subscriptions made through the returned value;
// Mesh.Close ends all.
func (m *Mesh) Subscriber() watermill.Subscriber {
	ctx, cancel := context.WithCancel(m.ctx)
	return &subscriber{mesh: m, ctx: ctx, cancel: cancel}
}

type subscriber struct {
	mesh   *Mesh
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Subscribe implements watermill's message.Subscriber.
func (s *subscriber) Subscribe(ctx context.Context, topic string) (<-chan *watermill.Message, error) {
	if s.ctx.Err() != nil || !s.mesh.trackGoroutine() {
		return nil, errMeshClosed
	}
	sub := &subscription{
		subscriber: s, ctx: ctx, topic: topic, counters: s.mesh.countersOf(topic),
		out: make(chan *watermill.Message), wake: make(chan struct{}, 1),
	}
	s.mesh.subscribers.Update(topic, func(all []*subscription, _ bool) ([]*subscription, bool) {
		return append(slices.Clone(all), sub), true
	})
	s.wg.Add(1)
	go sub.run()
	return sub.out, nil
}

// Close implements watermill's message.Subscriber. It waits until the channels of its
// subscriptions are closed.
func (s *subscriber) Close() error {
	s.cancel()
	s.wg.Wait()
	return nil
}

// subscription queues the messages of a topic for one channel.
type subscription struct {
	subscriber *subscriber
	ctx        context.Context
	topic      string
	counters   *topicCounters
	out        chan *watermill.Message
	wake       chan struct{}

	mu    sync.Mutex
	queue []*watermill.Message
}

func (s *subscription) run() {
	defer s.subscriber.mesh.wg.Done()
	defer s.subscriber.wg.Done()
	defer close(s.out)
	defer s.remove()
	for {
		msg := s.pop()
		if msg == nil {
			select {
			case <-s.wake:
				continue
			case <-s.ctx.Done():
				return
			case <-s.subscriber.ctx.Done():
				return
			}
		}
		select {
		case s.out <- msg:
		case <-s.ctx.Done():
			return
		case <-s.subscriber.ctx.Done():
			return
		}
	}
}

func (s *subscription) remove() {
	s.subscriber.mesh.subscribers.Update(s.topic, func(all []*subscription, _ bool) ([]*subscription, bool) {
		rest := slices.DeleteFunc(slices.Clone(all), func(other *subscription) bool { return other == s })
		return rest, len(rest) > 0
	})
}

// push queues a message. It drops the oldest one if the queue is full.
func (s *subscription) push(msg *watermill.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, msg)
	if len(s.queue) > s.subscriber.mesh.opts.ControlQueueLen {
		s.queue[0] = nil
		s.queue = s.queue[1:]
		s.counters.dropped.Add(1)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *subscription) pop() *watermill.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		return nil
	}
	msg := s.queue[0]
	s.queue[0] = nil
	s.queue = s.queue[1:]
	return msg
}

// deliver passes the message in a control frame to the subscriptions of its topic.
func (m *Mesh) deliver(c *connection, f frame.Frame) {
	var control message.Control
	if err := message.Decode(f.Payload, &control); err != nil {
		m.opts.Logger.Warn("invalid control message dropped", "peer", c.peer, "reason", err)
		return
	}
	subs, _ := m.subscribers.Get(control.Topic)
	if len(subs) == 0 {
		m.countersOf("").countReceived(f)
		return
	}
	m.countersOf(control.Topic).countReceived(f)
	for _, s := range subs {
		// Each subscriber gets a copy of the payload, which it may modify.
		msg := watermill.NewMessageWithContext(s.ctx, "", slices.Clone(control.Payload))
		msg.Metadata.Set(MetadataSender, c.peer.String())
		s.push(msg)
	}
}
