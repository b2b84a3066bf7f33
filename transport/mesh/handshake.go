package mesh

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"amaranthtide/protocol/frame"
	"amaranthtide/protocol/message"
)

const protocolVersion = 1

// The role is part of each MAC, so that a proof can't be reflected to its sender.
const (
	roleDialler  = "amaranthtide dialler"
	roleAccepter = "amaranthtide accepter"
)

var errWrongKey = errors.New("peer does not hold the fleet key")

// handshakeAccepted runs the handshake of an accepted connection: it sends a
// challenge, verifies the proof of the peer and sends its own. A peer without the
// key receives only the challenge.
func (m *Mesh) handshakeAccepted(raw net.Conn) (*connection, error) {
	c := newConnection(m, raw)
	defer m.limitHandshake(raw)()

	challenge := &message.Challenge{Version: protocolVersion, Nonce: newNonce()}
	if err := c.sendHandshake(frame.Challenge, challenge); err != nil {
		return nil, err
	}
	var proof message.Proof
	if err := c.receiveHandshake(frame.Proof, &proof); err != nil {
		return nil, err
	}
	if !hmac.Equal(proof.MAC, m.proofMAC(roleDialler, challenge.Nonce, proof.Nonce, proof.Address)) {
		return nil, errWrongKey
	}
	peer, err := proof.AddrPort()
	if err != nil {
		return nil, err
	}
	if err := c.sendHandshake(frame.Welcome, &message.Welcome{MAC: m.proofMAC(roleAccepter, proof.Nonce, challenge.Nonce)}); err != nil {
		return nil, err
	}
	c.peer = peer
	return c, c.finishHandshake()
}

// handshakeDialled runs the handshake of a dialled connection.
func (m *Mesh) handshakeDialled(raw net.Conn, peer netip.AddrPort) (*connection, error) {
	c := newConnection(m, raw)
	c.peer, c.dialled = peer, true
	defer m.limitHandshake(raw)()

	var challenge message.Challenge
	if err := c.receiveHandshake(frame.Challenge, &challenge); err != nil {
		return nil, err
	}
	if challenge.Version != protocolVersion {
		return nil, fmt.Errorf("peer uses protocol version %d, want %d", challenge.Version, protocolVersion)
	}
	proof := message.NewProof(newNonce(), m.opts.Advertise)
	proof.MAC = m.proofMAC(roleDialler, challenge.Nonce, proof.Nonce, proof.Address)
	if err := c.sendHandshake(frame.Proof, proof); err != nil {
		return nil, err
	}
	var welcome message.Welcome
	if err := c.receiveHandshake(frame.Welcome, &welcome); err != nil {
		return nil, err
	}
	if !hmac.Equal(welcome.MAC, m.proofMAC(roleAccepter, proof.Nonce, challenge.Nonce)) {
		return nil, errWrongKey
	}
	return c, c.finishHandshake()
}

// limitHandshake sets the deadline of a handshake and aborts it when the Mesh is
// closed. The caller must call the returned function after the handshake.
func (m *Mesh) limitHandshake(raw net.Conn) func() {
	_ = raw.SetDeadline(time.Now().Add(m.opts.DialTimeout))
	stop := context.AfterFunc(m.ctx, func() { _ = raw.Close() })
	return func() { stop() }
}

// proofMAC returns the HMAC-SHA256 of the role and the parts, keyed with the fleet
// key. Each of them is preceded by its length.
func (m *Mesh) proofMAC(role string, parts ...[]byte) []byte {
	h := hmac.New(sha256.New, m.opts.FleetKey)
	h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(role))))
	h.Write([]byte(role))
	for _, p := range parts {
		h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(p))))
		h.Write(p)
	}
	return h.Sum(nil)
}

func newNonce() []byte {
	nonce := make([]byte, message.NonceSize)
	_, _ = rand.Read(nonce) // documented to never return an error
	return nonce
}

// sendHandshake writes one handshake frame directly to the connection.
func (c *connection) sendHandshake(t frame.Type, msg message.Message) error {
	payload, err := message.Append(nil, msg)
	if err != nil {
		return err
	}
	_, err = c.raw.Write(frame.Append(nil, frame.Frame{Type: t, Payload: payload}))
	return err
}

// receiveHandshake reads one handshake frame, which must have type t.
func (c *connection) receiveHandshake(t frame.Type, msg message.Message) error {
	f, err := c.codec.Next()
	if err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	if f.Type != t {
		return fmt.Errorf("handshake: got a %s frame, want %s", f.Type, t)
	}
	return message.Decode(f.Payload, msg)
}
