package message

import "net/netip"

// NonceSize is the size of a handshake nonce, in bytes.
const NonceSize = 32

// MaxHandshakeFrame is the largest frame, in bytes, that is accepted from a peer before it
// has proved that it knows the fleet key.
const MaxHandshakeFrame = 512

// Challenge is the first message of the handshake, sent by the accepting router.
type Challenge struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	Version uint32
	Nonce   []byte
}

// Proof is the dialing router's response to a Challenge. It proves that the router
// knows the fleet key.
type Proof struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	Nonce []byte
	// Address is the address on which the dialing router listens.
	Address []byte
	MAC     []byte
}

// Welcome is the accepting router's response to a Proof. It proves that this router
// knows the fleet key as well.
type Welcome struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	MAC []byte
}

// NewProof returns a proof without its MAC.
func NewProof(nonce []byte, addr netip.AddrPort) *Proof {
	return &Proof{Nonce: nonce, Address: addressBytes(addr)}
}

// AddrPort returns the listen address of the dialing router.
func (m *Proof) AddrPort() (netip.AddrPort, error) { return parseAddress(m.Address) }

func (m *Challenge) check() error { return checkNonce(m.Nonce) }

func (m *Proof) check() error {
	if err := checkNonce(m.Nonce); err != nil {
		return err
	}
	return checkNames(string(m.Address), string(m.MAC))
}

func (m *Welcome) check() error { return checkNames(string(m.MAC)) }

func checkNonce(nonce []byte) error {
	if len(nonce) != NonceSize {
		return badMessage("nonce has %d bytes, want %d", len(nonce), NonceSize)
	}
	return nil
}
