package message

import (
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// A chunk is the msgpack array [offset, data]. It has a hand-written codec because
// it is the only message whose cost per frame matters: encoding copies the data
// once, into the send buffer, and decoding doesn't copy them.
//
// The offset is the number of answer bytes before the chunk. With it the entry VM
// drops duplicate chunks and detects missing ones.
const (
	chunkArrayLen = 2
	// maxChunkPrefix is the size of the array code, a 9-byte offset and a 5-byte length.
	maxChunkPrefix = 15
	// MaxChunk is the largest data size of one chunk, in bytes. It is smaller than
	// the flow control window, so that one stream doesn't occupy the connection for
	// a full window.
	MaxChunk = 16 << 10
)

// ChunkSize returns the encoded size of a chunk.
func ChunkSize(offset uint64, data []byte) int {
	var b [maxChunkPrefix]byte
	return len(appendChunkPrefix(b[:0], offset, len(data))) + len(data)
}

// AppendChunk appends an encoded chunk to dst.
func AppendChunk(dst []byte, offset uint64, data []byte) []byte {
	return append(appendChunkPrefix(dst, offset, len(data)), data...)
}

func appendChunkPrefix(dst []byte, offset uint64, n int) []byte {
	dst = append(dst, msgpcode.FixedArrayLow|chunkArrayLen)
	switch {
	case offset <= uint64(msgpcode.PosFixedNumHigh):
		dst = append(dst, byte(offset))
	case offset <= 1<<16-1:
		dst = binary.BigEndian.AppendUint16(append(dst, msgpcode.Uint16), uint16(offset))
	case offset <= 1<<32-1:
		dst = binary.BigEndian.AppendUint32(append(dst, msgpcode.Uint32), uint32(offset))
	default:
		dst = binary.BigEndian.AppendUint64(append(dst, msgpcode.Uint64), offset)
	}
	if n <= 1<<8-1 {
		return append(dst, msgpcode.Bin8, byte(n))
	}
	if n <= 1<<16-1 {
		return binary.BigEndian.AppendUint16(append(dst, msgpcode.Bin16), uint16(n))
	}
	return binary.BigEndian.AppendUint32(append(dst, msgpcode.Bin32), uint32(n))
}

// DecodeChunk returns the offset and the data of a chunk. The data alias payload.
func DecodeChunk(payload []byte) (offset uint64, data []byte, err error) {
	s := encodingScanner{remaining: payload}
	c, err := s.readUint(1)
	if err != nil {
		return 0, nil, err
	}
	if byte(c) != msgpcode.FixedArrayLow|chunkArrayLen {
		return 0, nil, badMessage("chunk starts with msgpack code %#x, want an array of two items", c)
	}
	if offset, err = s.readUintValue(); err != nil {
		return 0, nil, err
	}
	if c, err = s.readUint(1); err != nil {
		return 0, nil, err
	}
	if byte(c) < msgpcode.Bin8 || byte(c) > msgpcode.Bin32 {
		return 0, nil, badMessage("chunk data has msgpack code %#x, want binary data", c)
	}
	n, err := s.readUint(1 << (byte(c) - msgpcode.Bin8))
	if err != nil {
		return 0, nil, err
	}
	if n != uint64(len(s.remaining)) || n > MaxChunk {
		return 0, nil, badMessage("chunk has %d data bytes but declares %d, at most %d are allowed", len(s.remaining), n, MaxChunk)
	}
	return offset, s.remaining, nil
}

// readUintValue reads an unsigned integer in any of its msgpack encodings.
func (s *encodingScanner) readUintValue() (uint64, error) {
	c, err := s.readUint(1)
	if err != nil {
		return 0, err
	}
	if byte(c) <= msgpcode.PosFixedNumHigh {
		return c, nil
	}
	if byte(c) < msgpcode.Uint8 || byte(c) > msgpcode.Uint64 {
		return 0, badMessage("msgpack code %#x is not an unsigned integer", c)
	}
	return s.readUint(1 << (byte(c) - msgpcode.Uint8))
}
