// Package frame reads and writes the frames in which messages travel between
// routers.
//
// A frame is a big-endian length of 4 bytes, a stream of 8 bytes, a type of 1
// byte and the payload. The length counts what follows it. Frames that belong
// to no stream have stream 0.
//
// # Usage
//
//	c := frame.NewCodec(conn)
//	for {
//		f, err := c.Next()
//		if err != nil {
//			return err
//		}
//		handle(f) // f.Payload is valid until the next call
//	}
//
// Writers append frames to a buffer of their own with Append, or with
// AppendHeader and the payload itself, and write many frames at once.
package frame

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"sync"
)

const (
	// HeaderSize is the size of the length, the stream and the type.
	HeaderSize = lengthSize + streamTypeSize
	// MaxSize is the largest frame, without its length.
	MaxSize = 5 << 20

	lengthSize     = 4
	streamTypeSize = 9
	// readBufferSize holds many small frames. Larger frames get a pooled buffer.
	readBufferSize = 32 << 10
)

// Frame is one frame.
type Frame struct {
	Stream  uint64
	Type    Type
	Payload []byte
}

// Size returns the number of bytes of the frame on the wire.
func (f Frame) Size() int { return HeaderSize + len(f.Payload) }

// Codec reads frames. It is for one goroutine at a time. Use NewCodec.
type Codec struct {
	r     *bufio.Reader
	limit int
	// peeked is the number of bytes of the last frame still in r.
	peeked int
	// large holds the last frame if it did not fit into r.
	large *[]byte
}

// NewCodec returns a Codec that reads from r.
func NewCodec(r io.Reader) *Codec {
	return &Codec{r: bufio.NewReaderSize(r, readBufferSize), limit: MaxSize}
}

// SetLimit sets the largest accepted frame without its length; at most MaxSize.
func (c *Codec) SetLimit(n int) { c.limit = min(n, MaxSize) }

// Next returns the next frame. Its payload is valid until the next call. The
// error is io.EOF only at the end of a frame. After an error the Codec is of no
// more use.
func (c *Codec) Next() (Frame, error) {
	c.release()
	length, err := c.r.Peek(lengthSize)
	if err != nil {
		return Frame{}, unexpectedEOF(err, len(length))
	}
	size := binary.BigEndian.Uint32(length)
	if size < streamTypeSize || int64(size) > int64(c.limit) {
		return Frame{}, fmt.Errorf("frame of %d bytes, allowed are %d to %d", size, streamTypeSize, c.limit)
	}
	n := lengthSize + int(size)
	if n <= c.r.Size() {
		b, err := c.r.Peek(n)
		if err != nil {
			return Frame{}, unexpectedEOF(err, n)
		}
		c.peeked = n
		return parse(b[lengthSize:]), nil
	}
	c.large = getBuffer(n)
	if _, err := io.ReadFull(c.r, *c.large); err != nil {
		return Frame{}, unexpectedEOF(err, n)
	}
	return parse((*c.large)[lengthSize:]), nil
}

func (c *Codec) release() {
	if c.peeked > 0 {
		_, _ = c.r.Discard(c.peeked) // was peeked
		c.peeked = 0
	}
	if c.large != nil {
		bufferPool.Put(c.large)
		c.large = nil
	}
}

func parse(b []byte) Frame {
	return Frame{Stream: binary.BigEndian.Uint64(b), Type: Type(b[streamTypeSize-1]), Payload: b[streamTypeSize:]}
}

// unexpectedEOF turns an end of file inside a frame into io.ErrUnexpectedEOF.
func unexpectedEOF(err error, read int) error {
	if err == io.EOF && read > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// AppendHeader appends the header of a frame whose payload has n bytes. The
// caller appends the payload. n must be at most MaxSize less the header.
func AppendHeader(dst []byte, stream uint64, t Type, n int) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(streamTypeSize+n))
	dst = binary.BigEndian.AppendUint64(dst, stream)
	return append(dst, byte(t))
}

// Append appends a frame to dst. The payload must be at most MaxSize less the header.
func Append(dst []byte, f Frame) []byte {
	return append(AppendHeader(dst, f.Stream, f.Type, len(f.Payload)), f.Payload...)
}

var bufferPool = sync.Pool{New: func() any { return new([]byte) }}

func getBuffer(n int) *[]byte {
	b := bufferPool.Get().(*[]byte)
	if cap(*b) < n {
		*b = make([]byte, n)
	}
	*b = (*b)[:n]
	return b
}
