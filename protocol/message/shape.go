package message

import (
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth is the deepest nesting of arrays and maps. The messages need four
// levels. The msgpack decoder skips unknown values recursively, so that a frame
// full of nested arrays could exhaust the stack.
const maxDepth = 8

// checkShape reports whether data is exactly one msgpack value within the
// limits on nesting and number of items.
func checkShape(data []byte) error {
	if len(data) > MaxSize {
		return badMessage("message of %d bytes is larger than %d", len(data), MaxSize)
	}
	w := shapeWalker{rest: data, items: MaxItems}
	if err := w.value(0); err != nil {
		return err
	}
	if len(w.rest) > 0 {
		return badMessage("%d bytes follow the message", len(w.rest))
	}
	return nil
}

type shapeWalker struct {
	rest  []byte
	items int
}

func (w *shapeWalker) value(depth int) error {
	w.items--
	if w.items < 0 {
		return badMessage("message has more than %d items", MaxItems)
	}
	if depth > maxDepth {
		return badMessage("message is nested deeper than %d levels", maxDepth)
	}
	code, err := w.number(1)
	if err != nil {
		return err
	}
	c := byte(code)
	switch {
	case msgpcode.IsFixedNum(c), c == msgpcode.Nil, c == msgpcode.False, c == msgpcode.True:
		return nil
	case msgpcode.IsFixedString(c):
		return w.skip(uint64(c & msgpcode.FixedStrMask))
	case msgpcode.IsFixedArray(c):
		return w.values(uint64(c&msgpcode.FixedArrayMask), depth)
	case msgpcode.IsFixedMap(c):
		return w.values(2*uint64(c&msgpcode.FixedMapMask), depth)
	}
	switch c {
	case msgpcode.Uint8, msgpcode.Int8:
		return w.skip(1)
	case msgpcode.Uint16, msgpcode.Int16:
		return w.skip(2)
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return w.skip(4)
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return w.skip(8)
	case msgpcode.Str8, msgpcode.Bin8:
		return w.sized(1)
	case msgpcode.Str16, msgpcode.Bin16:
		return w.sized(2)
	case msgpcode.Str32, msgpcode.Bin32:
		return w.sized(4)
	case msgpcode.Array16, msgpcode.Array32:
		n, err := w.number(2 << (c - msgpcode.Array16))
		if err != nil {
			return err
		}
		return w.values(n, depth)
	case msgpcode.Map16, msgpcode.Map32:
		n, err := w.number(2 << (c - msgpcode.Map16))
		if err != nil {
			return err
		}
		return w.values(2*n, depth)
	default:
		return badMessage("msgpack code %#x is not used in messages", c)
	}
}

func (w *shapeWalker) values(n uint64, depth int) error {
	if n > uint64(len(w.rest)) {
		return badMessage("message ends early")
	}
	for ; n > 0; n-- {
		if err := w.value(depth + 1); err != nil {
			return err
		}
	}
	return nil
}

// sized skips a length of the given width and as many bytes.
func (w *shapeWalker) sized(width int) error {
	n, err := w.number(width)
	if err != nil {
		return err
	}
	return w.skip(n)
}

// number reads a big-endian number of 1, 2 or 4 bytes.
func (w *shapeWalker) number(width int) (uint64, error) {
	if len(w.rest) < width {
		return 0, badMessage("message ends early")
	}
	var b [8]byte
	copy(b[8-width:], w.rest)
	w.rest = w.rest[width:]
	return binary.BigEndian.Uint64(b[:]), nil
}

func (w *shapeWalker) skip(n uint64) error {
	if n > uint64(len(w.rest)) {
		return badMessage("message ends early")
	}
	w.rest = w.rest[n:]
	return nil
}
