package bodies

import (
	"errors"
	"io"

	"amaranthtide"
)

// ErrNoMemory is the error of ReadAll if the limit leaves no memory for a body.
var ErrNoMemory = errors.New("no memory is left for it")

const (
	// firstBytes is the first reservation for a body of unknown length.
	firstBytes = 4 << 10
	// allocatedBytes is what is allocated for a body of known length before some of it has
	// arrived. Callers that announce a large body and send nothing cost only the reservation.
	allocatedBytes = 64 << 10
)

// Hold is what one request holds of a Budget. It is not safe for concurrent use. Use
// Budget.Hold.
type Hold struct {
	budget    *Budget
	workspace amaranthtide.WorkspaceName
	n         int64
}

// Hold returns a Hold without bytes for a request of a workspace.
func (b *Budget) Hold(workspace amaranthtide.WorkspaceName) *Hold {
	return &Hold{budget: b, workspace: workspace}
}

// Assign sets the workspace of a Hold without bytes.
func (h *Hold) Assign(workspace amaranthtide.WorkspaceName) { h.workspace = workspace }

// Grow adds n bytes and reports whether there is room for them.
func (h *Hold) Grow(n int64) bool {
	if !h.budget.Reserve(h.workspace, n) {
		return false
	}
	h.n += n
	return true
}

// Shrink ends the reservation of n bytes.
func (h *Hold) Shrink(n int64) {
	h.budget.Release(h.workspace, n)
	h.n -= n
}

// Release ends the reservation. The Hold can be used again.
func (h *Hold) Release() { h.Shrink(h.n) }

// ReadAll reads a body of the given length. If the length is negative, it is unknown, and up to one
// byte more than limit is read; otherwise the caller has checked it. Memory is reserved before it is
// used, so that a growing body never takes more than was counted. The error is ErrNoMemory if there
// is none.
func (h *Hold) ReadAll(r io.Reader, length int64, limit int) ([]byte, error) {
	if length >= 0 {
		if !h.Grow(length) {
			return nil, ErrNoMemory
		}
		body := make([]byte, min(length, allocatedBytes))
		n, err := io.ReadFull(r, body)
		if err != nil || int64(n) == length {
			return body, err
		}
		body = append(make([]byte, 0, length), body...)[:length]
		_, err = io.ReadFull(r, body[n:])
		return body, err
	}
	var body []byte
	for r := io.LimitReader(r, int64(limit)+1); ; {
		if len(body) == cap(body) {
			grown := int64(min(max(firstBytes, 2*cap(body)), limit+1))
			if !h.Grow(grown) {
				return nil, ErrNoMemory
			}
			held := int64(cap(body))
			body = append(make([]byte, 0, grown), body...)
			h.Shrink(held)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case len(body) > limit:
			return body, nil
		}
	}
}
