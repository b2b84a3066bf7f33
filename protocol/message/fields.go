package message

import (
	"reflect"

	"github.com/vmihailenco/msgpack/v5"
)

// encodeFields encodes fields as an array, without those at its end that are zero and not among the first
// required ones. Routers of an earlier version know only the required fields and reject longer arrays.
func encodeFields(enc *msgpack.Encoder, required int, fields ...any) error {
	n := len(fields)
	for n > required && isZero(fields[n-1]) {
		n--
	}
	if err := enc.EncodeArrayLen(n); err != nil {
		return err
	}
	return enc.EncodeMulti(fields[:n]...)
}

func isZero(field any) bool {
	v := reflect.ValueOf(field)
	return v.IsZero() || v.Kind() == reflect.Slice && v.Len() == 0
}

// decodeFields decodes an array into the variables that fields point to. Missing ones stay zero unless they
// are required, and those of a later version are skipped.
func decodeFields(dec *msgpack.Decoder, required int, fields ...any) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n < required {
		return badMessage("array has %d fields, must have at least %d", n, required)
	}
	for i := range n {
		if i >= len(fields) {
			err = dec.Skip()
		} else {
			err = dec.Decode(fields[i])
		}
		if err != nil {
			return err
		}
	}
	return nil
}
