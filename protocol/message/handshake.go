package message

import "net/netip"

// NonceSize is the size of the nonces of a handshake, in bytes.
const NonceSize = 32

// MaxHandshake bounds the frames of peers that have not proved the fleet key.
const MaxHandshake = 512

// Challenge is what the accepting router sends first.
type Challenge struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	Version uint32
	Nonce   []byte
}

// Proof is the answer of the dialling router.
type Proof struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	Nonce []byte
	// Address is where the dialling router listens.
	Address []byte
	MAC     []byte
}

// Welcome proves that the accepting router holds the key as well.
type Welcome struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	MAC []byte
}

// NewProof returns a proof without its MAC.
func NewProof(nonce []byte, addr netip.AddrPort) *Proof {
	return &Proof{Nonce: nonce, Address: addressBytes(addr)}
}

// AddrPort returns the address of the dialling router.
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
