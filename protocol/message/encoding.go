package message

import (
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth is the deepest allowed nesting of arrays and maps. Messages need four
// levels. Without a limit a frame of nested arrays could exhaust the stack, since
// the msgpack decoder skips unknown values recursively.
const maxDepth = 8

// checkEncoding returns an error unless data is exactly one msgpack value within the
// limits on size, nesting and number of items.
func checkEncoding(data []byte) error {
	if len(data) > MaxSize {
		return badMessage("message size of %d bytes exceeds the limit of %d", len(data), MaxSize)
	}
	s := encodingScanner{remaining: data, itemsLeft: MaxItems}
	if err := s.skipValue(0); err != nil {
		return err
	}
	if len(s.remaining) > 0 {
		return badMessage("%d trailing bytes after the message", len(s.remaining))
	}
	return nil
}

// encodingScanner walks over msgpack values without decoding them.
type encodingScanner struct {
	remaining []byte
	itemsLeft int
}

func (s *encodingScanner) skipValue(depth int) error {
	s.itemsLeft--
	if s.itemsLeft < 0 {
		return badMessage("message has more than %d items", MaxItems)
	}
	if depth > maxDepth {
		return badMessage("message is nested deeper than %d levels", maxDepth)
	}
	code, err := s.readUint(1)
	if err != nil {
		return err
	}
	c := byte(code)
	switch {
	case msgpcode.IsFixedNum(c), c == msgpcode.Nil, c == msgpcode.False, c == msgpcode.True:
		return nil
	case msgpcode.IsFixedString(c):
		return s.skip(uint64(c & msgpcode.FixedStrMask))
	case msgpcode.IsFixedArray(c):
		return s.skipValues(uint64(c&msgpcode.FixedArrayMask), depth)
	case msgpcode.IsFixedMap(c):
		return s.skipValues(2*uint64(c&msgpcode.FixedMapMask), depth)
	}
	switch c {
	case msgpcode.Uint8, msgpcode.Int8:
		return s.skip(1)
	case msgpcode.Uint16, msgpcode.Int16:
		return s.skip(2)
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return s.skip(4)
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return s.skip(8)
	case msgpcode.Str8, msgpcode.Bin8:
		return s.skipSized(1)
	case msgpcode.Str16, msgpcode.Bin16:
		return s.skipSized(2)
	case msgpcode.Str32, msgpcode.Bin32:
		return s.skipSized(4)
	case msgpcode.Array16, msgpcode.Array32:
		n, err := s.readUint(2 << (c - msgpcode.Array16))
		if err != nil {
			return err
		}
		return s.skipValues(n, depth)
	case msgpcode.Map16, msgpcode.Map32:
		n, err := s.readUint(2 << (c - msgpcode.Map16))
		if err != nil {
			return err
		}
		return s.skipValues(2*n, depth)
	default:
		return badMessage("msgpack code %#x is not supported", c)
	}
}

func (s *encodingScanner) skipValues(n uint64, depth int) error {
	if n > uint64(len(s.remaining)) {
		return badMessage("message is truncated")
	}
	for ; n > 0; n-- {
		if err := s.skipValue(depth + 1); err != nil {
			return err
		}
	}
	return nil
}

// skipSized skips a length field of the given width and the bytes that it counts.
func (s *encodingScanner) skipSized(width int) error {
	n, err := s.readUint(width)
	if err != nil {
		return err
	}
	return s.skip(n)
}

// readUint reads a big-endian integer of 1, 2, 4 or 8 bytes.
func (s *encodingScanner) readUint(width int) (uint64, error) {
	if len(s.remaining) < width {
		return 0, badMessage("message is truncated")
	}
	var b [8]byte
	copy(b[8-width:], s.remaining)
	s.remaining = s.remaining[width:]
	return binary.BigEndian.Uint64(b[:]), nil
}

func (s *encodingScanner) skip(n uint64) error {
	if n > uint64(len(s.remaining)) {
		return badMessage("message is truncated")
	}
	s.remaining = s.remaining[n:]
	return nil
}
