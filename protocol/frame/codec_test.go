package frame_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthtide/protocol/frame"
)

// Guards against frames that are split or merged when reads return partial data, and
// against input that ends inside a frame and is reported as a regular end.
func TestFramesRoundTripWithPartialReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var want []frame.Frame
		var wire []byte
		frameEnds := map[int]bool{0: true}
		for range rapid.IntRange(0, 8).Draw(t, "frames") {
			f := frame.Frame{
				Stream:  rapid.Uint64().Draw(t, "stream"),
				Type:    frame.Type(rapid.Byte().Draw(t, "type")),
				Payload: bytes.Repeat([]byte{rapid.Byte().Draw(t, "byte")}, rapid.SampledFrom([]int{0, 1, 20, 32 << 10, 100_000}).Draw(t, "size")),
			}
			want = append(want, f)
			wire = frame.Append(wire, f)
			frameEnds[len(wire)] = true
		}
		cut := len(wire)
		if rapid.Bool().Draw(t, "isCut") {
			cut = rapid.IntRange(0, len(wire)).Draw(t, "cut")
		}
		var r io.Reader = bytes.NewReader(wire[:cut])
		if rapid.Bool().Draw(t, "halves") {
			r = iotest.HalfReader(r)
		}
		reader := frame.NewReader(r)
		for read := 0; ; {
			f, err := reader.Next()
			if err != nil {
				if (err == io.EOF) != frameEnds[cut] || !frameEnds[cut] && !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Fatalf("got: %v after %d bytes, want: io.EOF: %v", err, cut, frameEnds[cut])
				}
				return
			}
			if f.Stream != want[0].Stream || f.Type != want[0].Type || !bytes.Equal(f.Payload, want[0].Payload) {
				t.Fatalf("got: stream %d %s, want: %d %s", f.Stream, f.Type, want[0].Stream, want[0].Type)
			}
			read += f.Size()
			want = want[1:]
		}
	})
}

// Guards against frames above the limit, for whose declared length memory would be
// allocated.
func TestFrameLimits(t *testing.T) {
	is := is.New(t)
	for _, head := range [][]byte{{0, 0, 0, 8}, {0xff, 0xff, 0xff, 0xff}, {0, 0x50, 0, 1}} {
		_, err := frame.NewReader(bytes.NewReader(append(head, make([]byte, 64)...))).Next()
		is.True(err != nil && !errors.Is(err, io.ErrUnexpectedEOF))
	}
	wire := frame.Append(nil, frame.Frame{Payload: make([]byte, 200)})
	reader := frame.NewReader(bytes.NewReader(wire))
	reader.SetLimit(100)
	_, err := reader.Next()
	is.True(err != nil)
	largest := frame.AppendHeader(nil, 1, frame.Forward, frame.MaxSize-9)
	f, err := frame.NewReader(io.MultiReader(bytes.NewReader(largest), bytes.NewReader(make([]byte, frame.MaxSize)))).Next()
	is.NoErr(err)
	is.Equal(f.Size(), frame.MaxSize+4)
}

// Guards against a panic on malicious input.
func FuzzNext(f *testing.F) {
	f.Add(frame.Append(nil, frame.Frame{Stream: 1, Type: frame.Chunk, Payload: []byte("x")}))
	f.Fuzz(func(_ *testing.T, data []byte) {
		reader := frame.NewReader(bytes.NewReader(data))
		for {
			if _, err := reader.Next(); err != nil {
				return
			}
		}
	})
}
