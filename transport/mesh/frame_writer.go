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
	// maxSpareBuffer limits the capacity of the send buffer that is kept for reuse.
	maxSpareBuffer = 256 << 10
	// maxWrite limits the size of one write, so that the write deadline applies to
	// this many bytes and not to a whole batch on a slow connection.
	maxWrite = 256 << 10
)

// frameWriter queues the frames of one connection and writes them in batches: frames
// queued during a write are sent with the next one. Frames of control messages are
// fetched when a batch starts and are written first.
type frameWriter struct {
	raw               net.Conn
	maxPending        int
	keepaliveInterval time.Duration
	writeTimeout      time.Duration
	counters          *counters
	// onIdle is called after each keepaliveInterval without a write; nil on an accepted
	// connection.
	onIdle func()
	// appendControl appends the frames of the waiting control messages; nil on an
	// accepted connection.
	appendControl func(dst []byte) []byte
	// closed is closed when the connection is closed.
	closed <-chan struct{}
	// wake holds a token while there may be something to write.
	wake chan struct{}

	mu      sync.Mutex
	pending []byte
	spare   []byte
	// appended and written count the bytes since the connection was opened, control
	// frames excluded.
	appended uint64
	written  uint64
	// frames counts the frames included in appended, keepalives the keepalive frames
	// among them.
	frames     uint64
	keepalives uint64
	finished   bool
	// spaceAvailable is closed when the next batch is taken; nil without waiters.
	spaceAvailable chan struct{}
}

// errConnectionClosed is the error of a wait that ends because the connection is closed.
var errConnectionClosed = errors.New("connection is closed")

// append queues one frame even if the buffer is full and returns the position of its
// end. The payload must be small or sent rarely.
func (w *frameWriter) append(f frame.Frame) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.appendLocked(func(dst []byte) []byte { return frame.Append(dst, f) })
}

// appendLocked queues the frame that f appends and returns the position of its end.
// The caller must hold mu.
func (w *frameWriter) appendLocked(f func(dst []byte) []byte) uint64 {
	if w.pending == nil {
		w.pending, w.spare = w.spare, nil
	}
	before := len(w.pending)
	w.pending = f(w.pending)
	w.appended += uint64(len(w.pending) - before)
	w.frames++
	w.notify()
	return w.appended
}

func (w *frameWriter) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// waitForSpace waits until at most maxPending bytes are pending. It also returns nil
// if the connection is closed.
func (w *frameWriter) waitForSpace(ctx context.Context) error {
	w.mu.Lock()
	for len(w.pending) > w.maxPending {
		space := w.spaceChannel()
		w.mu.Unlock()
		select {
		case <-space:
		case <-w.closed:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
		w.mu.Lock()
	}
	w.mu.Unlock()
	return nil
}

// appendWhenSpace queues the frame that f appends once at most maxPending bytes are
// pending. It returns an error if the connection or stop is closed first.
func (w *frameWriter) appendWhenSpace(stop <-chan struct{}, f func(dst []byte) []byte) error {
	w.mu.Lock()
	for len(w.pending) > w.maxPending {
		space := w.spaceChannel()
		w.mu.Unlock()
		select {
		case <-space:
		case <-stop:
			return errConnectionClosed
		case <-w.closed:
			return errConnectionClosed
		}
		w.mu.Lock()
	}
	w.appendLocked(f)
	w.mu.Unlock()
	return nil
}

// spaceChannel returns a channel that is closed when the next batch is taken. The
// caller must hold mu.
func (w *frameWriter) spaceChannel() <-chan struct{} {
	if w.spaceAvailable == nil {
		w.spaceAvailable = make(chan struct{})
	}
	return w.spaceAvailable
}

// isWritten reports whether all bytes before the position have been written. The
// result is final once run has returned.
func (w *frameWriter) isWritten(position uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written >= position
}

// finish makes run return nil after it has written the pending frames.
func (w *frameWriter) finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finished = true
	w.notify()
}

// run writes queued frames until the connection is closed or finish is called.
func (w *frameWriter) run() error {
	idle := time.NewTimer(w.keepaliveInterval)
	defer idle.Stop()
	for {
		select {
		case <-w.wake:
		case <-idle.C:
			w.keepAlive()
		case <-w.closed:
			return errConnectionClosed
		}
		last, err := w.flush()
		if err != nil {
			return err
		}
		if last {
			return nil
		}
		idle.Reset(w.keepaliveInterval)
	}
}

// keepAlive queues a keepalive frame and releases the spare buffer.
func (w *frameWriter) keepAlive() {
	w.append(frame.Frame{Type: frame.Keepalive})
	w.mu.Lock()
	w.keepalives++
	w.spare = nil
	w.mu.Unlock()
	if w.onIdle != nil {
		w.onIdle()
	}
}

// streamTraffic returns the number and size of the frames queued for streams.
func (w *frameWriter) streamTraffic() Traffic {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Traffic{Frames: w.frames - w.keepalives, Bytes: w.appended - w.keepalives*frame.HeaderSize}
}

// flush writes until nothing is pending. It reports whether finish was called.
func (w *frameWriter) flush() (last bool, err error) {
	for {
		control, batch, finished := w.takeBatch()
		if len(control) == 0 && len(batch) == 0 {
			return finished, nil
		}
		if _, err := w.write(control); err != nil {
			return false, err
		}
		n, err := w.write(batch)
		w.finishBatch(batch, n)
		if err != nil {
			return false, err
		}
	}
}

// takeBatch returns the waiting control frames and the pending frames and whether
// finish was called.
func (w *frameWriter) takeBatch() (control, batch []byte, finished bool) {
	if w.appendControl != nil {
		control = w.appendControl(nil)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	batch, w.pending = w.pending, nil
	if w.spaceAvailable != nil {
		close(w.spaceAvailable)
		w.spaceAvailable = nil
	}
	return control, batch, w.finished
}

// finishBatch records the number of bytes written and keeps the buffer for reuse.
func (w *frameWriter) finishBatch(batch []byte, written int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.written += uint64(written)
	if cap(batch) <= maxSpareBuffer && w.spare == nil {
		w.spare = batch[:0]
	}
}

// write writes b in steps of maxWrite, each with its own deadline, and returns the
// number of bytes written.
func (w *frameWriter) write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		_ = w.raw.SetWriteDeadline(time.Now().Add(w.writeTimeout))
		n, err := w.raw.Write(b[written:min(len(b), written+maxWrite)])
		written += n
		w.counters.bytesSent.Add(uint64(n))
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
