package mesh

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"amaranthtide/protocol/frame"
)

const (
	// keptBuffer is the largest send buffer that is kept for reuse.
	keptBuffer = 256 << 10
	// maxWrite bounds one write, so that the write deadline applies to steps of
	// this size and not to a whole batch on a slow connection.
	maxWrite = 256 << 10
)

// outbox gathers the frames of one connection and writes them in batches: what
// arrives during one write goes out with the next one. Frames of control messages
// are taken from their source when a batch begins and go first.
type outbox struct {
	raw       net.Conn
	limit     int
	keepalive time.Duration
	silence   time.Duration
	counters  *counters
	// rested is called after each keepalive interval without a write.
	rested func()
	// control appends the frames of waiting control messages; nil if there are none.
	control func(dst []byte) []byte
	// closing is closed when the connection breaks.
	closing <-chan struct{}
	// wake holds a token while there may be something to write.
	wake chan struct{}

	mu      sync.Mutex
	pending []byte
	spare   []byte
	// appended and written count bytes since the opening of the connection,
	// without control frames.
	appended uint64
	written  uint64
	// frames counts the frames behind appended, keepalives those of them that are
	// keepalive frames.
	frames     uint64
	keepalives uint64
	finished   bool
	// space is closed when pending is taken; nil if nobody waits.
	space chan struct{}
}

// errGone is returned to those that wait on a connection that broke.
var errGone = errors.New("connection is closed")

// append queues one frame regardless of the limit and returns the position of
// its end. The payload must be small or sent rarely.
func (o *outbox) append(f frame.Frame) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.add(func(dst []byte) []byte { return frame.Append(dst, f) })
}

// add queues what f appends. The caller holds mu.
func (o *outbox) add(f func(dst []byte) []byte) uint64 {
	if o.pending == nil {
		o.pending, o.spare = o.spare, nil
	}
	before := len(o.pending)
	o.pending = f(o.pending)
	o.appended += uint64(len(o.pending) - before)
	o.frames++
	o.notify()
	return o.appended
}

func (o *outbox) notify() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// room waits until less than the limit is pending. It returns nil also if the
// connection breaks.
func (o *outbox) room(ctx context.Context) error {
	o.mu.Lock()
	for len(o.pending) > o.limit {
		space := o.waitSpace()
		o.mu.Unlock()
		select {
		case <-space:
		case <-o.closing:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
		o.mu.Lock()
	}
	o.mu.Unlock()
	return nil
}

// appendWithin queues what f appends once there is room. It returns an error if
// the connection breaks or stop is closed first.
func (o *outbox) appendWithin(stop <-chan struct{}, f func(dst []byte) []byte) error {
	o.mu.Lock()
	for len(o.pending) > o.limit {
		space := o.waitSpace()
		o.mu.Unlock()
		select {
		case <-space:
		case <-stop:
			return errGone
		case <-o.closing:
			return errGone
		}
		o.mu.Lock()
	}
	o.add(f)
	o.mu.Unlock()
	return nil
}

// waitSpace returns a channel that is closed when pending is taken. The caller holds mu.
func (o *outbox) waitSpace() <-chan struct{} {
	if o.space == nil {
		o.space = make(chan struct{})
	}
	return o.space
}

// sent reports whether the bytes before the position have been written. The answer
// is final once loop has returned.
func (o *outbox) sent(position uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written >= position
}

// finish lets loop return nil after it has written what is pending.
func (o *outbox) finish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.finished = true
	o.notify()
}

// loop writes until the connection breaks or finish is called.
func (o *outbox) loop() error {
	idle := time.NewTimer(o.keepalive)
	defer idle.Stop()
	for {
		select {
		case <-o.wake:
		case <-idle.C:
			o.rest()
		case <-o.closing:
			return errGone
		}
		last, err := o.drain()
		if err != nil {
			return err
		}
		if last {
			return nil
		}
		idle.Reset(o.keepalive)
	}
}

// rest queues a keepalive frame and lets go of the buffers.
func (o *outbox) rest() {
	o.append(frame.Frame{Type: frame.Keepalive})
	o.mu.Lock()
	o.keepalives++
	o.spare = nil
	o.mu.Unlock()
	if o.rested != nil {
		o.rested()
	}
}

// traffic returns what was queued for streams.
func (o *outbox) traffic() Traffic {
	o.mu.Lock()
	defer o.mu.Unlock()
	return Traffic{Frames: o.frames - o.keepalives, Bytes: o.appended - o.keepalives*frame.HeaderSize}
}

// drain writes until nothing is pending. It reports whether finish was called.
func (o *outbox) drain() (last bool, err error) {
	for {
		control, batch, finished := o.take()
		if len(control) == 0 && len(batch) == 0 {
			return finished, nil
		}
		if _, err := o.write(control); err != nil {
			return false, err
		}
		n, err := o.write(batch)
		o.recycle(batch, n)
		if err != nil {
			return false, err
		}
	}
}

func (o *outbox) take() (control, batch []byte, finished bool) {
	if o.control != nil {
		control = o.control(nil)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	batch, o.pending = o.pending, nil
	if o.space != nil {
		close(o.space)
		o.space = nil
	}
	return control, batch, o.finished
}

func (o *outbox) recycle(batch []byte, written int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.written += uint64(written)
	if cap(batch) <= keptBuffer && o.spare == nil {
		o.spare = batch[:0]
	}
}

func (o *outbox) write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		_ = o.raw.SetWriteDeadline(time.Now().Add(o.silence))
		n, err := o.raw.Write(b[written:min(len(b), written+maxWrite)])
		written += n
		o.counters.bytesSent.Add(uint64(n))
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
