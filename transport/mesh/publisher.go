package mesh

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	watermill "github.com/ThreeDotsLabs/watermill/message"

	"amaranthtide/protocol/frame"
	"amaranthtide/protocol/message"
)

// Metadata keys of control messages.
const (
	// MetadataPeers holds the addresses to publish to, separated by commas. It
	// overrides the peers of the topic.
	MetadataPeers = "peers"
	// MetadataSender holds the address of the router that published a message.
	MetadataSender = "sender"
)

// NewMessage returns a control message with the given payload and routers as receivers.
func NewMessage(payload []byte, peers []netip.AddrPort) *watermill.Message {
	addrs := make([]string, len(peers))
	for i, addr := range peers {
		addrs[i] = addr.String()
	}
	msg := watermill.NewMessage("", payload)
	msg.Metadata.Set(MetadataPeers, strings.Join(addrs, ","))
	return msg
}

// SetPeers sets the routers that receive the messages of a topic by default.
func (m *Mesh) SetPeers(topic string, peers []netip.AddrPort) {
	m.peers.Set(topic, slices.Clone(peers))
}

// Publisher returns the publisher of control messages. Only topic and payload are
// sent. Delivery is at most once: Publish never blocks, and a message is dropped if
// the peer can't be reached or too many newer messages wait for it. Close of the
// publisher does nothing; use Mesh.Close.
func (m *Mesh) Publisher() watermill.Publisher { return (*publisher)(m) }

type publisher Mesh

// Publish implements watermill's message.Publisher.
func (p *publisher) Publish(topic string, messages ...*watermill.Message) error {
	m := (*Mesh)(p)
	for _, msg := range messages {
		peers, err := m.receiversOf(topic, msg)
		if err != nil {
			return err
		}
		payload, err := message.Append(nil, &message.Control{Topic: topic, Payload: msg.Payload})
		if err != nil {
			return err
		}
		f := frame.Append(nil, frame.Frame{Type: frame.Control, Payload: payload})
		for _, addr := range peers {
			if err := m.publish(addr, topic, f); err != nil {
				return err
			}
		}
	}
	return nil
}

// Close implements watermill's message.Publisher.
func (p *publisher) Close() error { return nil }

// receiversOf returns the routers to which a message is published.
func (m *Mesh) receiversOf(topic string, msg *watermill.Message) ([]netip.AddrPort, error) {
	text := msg.Metadata.Get(MetadataPeers)
	if text == "" {
		peers, _ := m.peers.Get(topic)
		return peers, nil
	}
	var peers []netip.AddrPort
	for part := range strings.SplitSeq(text, ",") {
		addr, err := netip.ParseAddrPort(part)
		if err != nil {
			return nil, fmt.Errorf("metadata %s: %w", MetadataPeers, err)
		}
		peers = append(peers, addr)
	}
	return peers, nil
}

// publish queues a frame on the link to addr.
func (m *Mesh) publish(addr netip.AddrPort, topic string, f []byte) error {
	for {
		l := m.link(addr)
		if l == nil {
			return errMeshClosed
		}
		if l.publish(topic, f) {
			return nil
		}
	}
}

// publish queues a frame. It returns false if the link was removed from the Mesh.
func (l *link) publish(topic string, f []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.removed {
		return false
	}
	l.lastUsed = time.Now()
	if dropped := l.control.push(topic, f); dropped > 0 {
		l.mesh.countersOf(topic).dropped.Add(uint64(dropped))
	}
	if l.conn != nil && !l.conn.isClosed() {
		l.conn.writer.notify()
		return true
	}
	l.requestDial()
	return true
}

// takeControl moves the waiting control frames to dst. The write loop of the
// connection calls it before each batch.
func (l *link) takeControl(dst []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.control.drainTo(l.mesh, dst)
}
