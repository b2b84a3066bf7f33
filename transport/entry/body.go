package entry

import (
	"errors"
	"io"
	"net/http"
	"os"

	"amaranthtide"
	"amaranthtide/state/bodies"
)

var errTooLarge = errors.New("the body is too large")

// readBody reads the body of a request into memory of hold. The server limits the time.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, hold *bodies.Hold) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	var body []byte
	err := errTooLarge
	if r.ContentLength <= int64(h.opts.MaxBodyBytes) {
		body, err = hold.ReadAll(r.Body, r.ContentLength, h.opts.MaxBodyBytes)
	}
	if len(body) > h.opts.MaxBodyBytes {
		err = errTooLarge
	}
	switch {
	case errors.Is(err, errTooLarge):
		w.Header().Set("Connection", "close")
		return nil, amaranthtide.Errorf(amaranthtide.KindTooLarge, "the body exceeds %d bytes", h.opts.MaxBodyBytes)
	case errors.Is(err, bodies.ErrNoMemory):
		hold.Release()
		w.Header().Set("Connection", "close")
		// What is not read would reset the connection, and may destroy the answer on its way.
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, int64(h.opts.MaxBodyBytes)))
		return nil, noMemory(int(r.ContentLength))
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return nil, amaranthtide.Errorf(amaranthtide.KindDeadlineUnmet, "the body arrives too slowly: %w", err)
	case err != nil:
		return nil, amaranthtide.Errorf(amaranthtide.KindBadRequest, "read the body: %w", err)
	}
	return body, nil
}

func noMemory(n int) error {
	return amaranthtide.Errorf(amaranthtide.KindFull, "body of %d bytes: %w", n, bodies.ErrNoMemory)
}
