// Package frame reads and writes the frames that carry messages between routers.
//
// A frame consists of a big-endian length (4 bytes), a stream number (8 bytes), a
// type (1 byte) and the payload. The length doesn't include itself. Frames that
// belong to no stream have stream number 0.
//
// # Usage
//
//	r := frame.NewReader(conn)
//	for {
//		f, err := r.Next()
//		if err != nil {
//			return err
//		}
//		handle(f) // f.Payload is valid until the next call
//	}
//
// Writers append frames to their own buffer, with Append or with AppendHeader
// followed by the payload, and write many frames at once.
package frame

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"sync"
)

const (
	// HeaderSize is the total size of the length, the stream number and the type.
	HeaderSize = lengthSize + streamTypeSize
	// MaxSize is the largest frame, in bytes without the length field.
	MaxSize = 5 << 20

	lengthSize     = 4
	streamTypeSize = 9
	// readBufferSize has room for many small frames. Frames that don't fit into the
	// read buffer use a pooled buffer.
	readBufferSize = 32 << 10
)

// Frame is the unit of transmission between routers.
type Frame struct {
	Stream  uint64
	Type    Type
	Payload []byte
}

// Size returns the encoded size of the frame, in bytes.
func (f Frame) Size() int { return HeaderSize + len(f.Payload) }

// Reader reads frames from a stream of bytes. It is created with NewReader and is not
// safe for concurrent use.
type Reader struct {
	r     *bufio.Reader
	limit int
	// peeked is the size of the last frame if it is still in the buffer of r.
	peeked int
	// large holds the last frame if it didn't fit into the buffer of r.
	large *[]byte
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, readBufferSize), limit: MaxSize}
}

// SetLimit sets the largest accepted frame, in bytes without the length field. It is
// capped at MaxSize.
func (r *Reader) SetLimit(n int) { r.limit = min(n, MaxSize) }

// Next returns the next frame. Its payload is valid until the next call. The error
// is io.EOF if the input ends between two frames and io.ErrUnexpectedEOF if it ends
// inside a frame. After an error the Reader must not be used again.
func (r *Reader) Next() (Frame, error) {
	r.release()
	length, err := r.r.Peek(lengthSize)
	if err != nil {
		return Frame{}, unexpectedEOF(err, len(length))
	}
	size := binary.BigEndian.Uint32(length)
	if size < streamTypeSize || int64(size) > int64(r.limit) {
		return Frame{}, fmt.Errorf("frame size of %d bytes is not in the range %d to %d", size, streamTypeSize, r.limit)
	}
	n := lengthSize + int(size)
	if n <= r.r.Size() {
		b, err := r.r.Peek(n)
		if err != nil {
			return Frame{}, unexpectedEOF(err, n)
		}
		r.peeked = n
		return parse(b[lengthSize:]), nil
	}
	r.large = getBuffer(n)
	if _, err := io.ReadFull(r.r, *r.large); err != nil {
		return Frame{}, unexpectedEOF(err, n)
	}
	return parse((*r.large)[lengthSize:]), nil
}

func (r *Reader) release() {
	if r.peeked > 0 {
		_, _ = r.r.Discard(r.peeked) // can't fail, since these bytes are buffered
		r.peeked = 0
	}
	if r.large != nil {
		bufferPool.Put(r.large)
		r.large = nil
	}
}

func parse(b []byte) Frame {
	return Frame{Stream: binary.BigEndian.Uint64(b), Type: Type(b[streamTypeSize-1]), Payload: b[streamTypeSize:]}
}

// unexpectedEOF returns io.ErrUnexpectedEOF for an io.EOF inside a frame, otherwise
// err.
func unexpectedEOF(err error, read int) error {
	if err == io.EOF && read > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// AppendHeader appends the header of a frame whose payload has n bytes. The caller
// appends the payload. The frame must not exceed MaxSize.
func AppendHeader(dst []byte, stream uint64, t Type, n int) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(streamTypeSize+n))
	dst = binary.BigEndian.AppendUint64(dst, stream)
	return append(dst, byte(t))
}

// Append appends a frame to dst. The frame must not exceed MaxSize.
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
