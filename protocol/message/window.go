package message

// Window enlarges the flow control window of a stream.
type Window struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	// Bytes is the number of additional answer bytes that the owner may send.
	Bytes uint32
}

// Cancel tells the owner that the answer of a stream is no longer needed.
type Cancel struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package
}

func (*Window) check() error { return nil }

func (*Cancel) check() error { return nil }
