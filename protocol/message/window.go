package message

// Window allows the owner to send more bytes of a stream.
type Window struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	// Bytes is added to what the owner may send.
	Bytes uint32
}

// Cancel tells the owner that the answer of a stream is no longer wanted.
type Cancel struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package
}

func (*Window) check() error { return nil }

func (*Cancel) check() error { return nil }
