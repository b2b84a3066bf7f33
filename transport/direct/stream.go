package direct

import (
	"context"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/continuation"
)

// Streams knows which version of a service's software began a stream.
type Streams interface {
	// Began records that a server has begun to write the stream of a request. It is called before the
	// first event is passed on.
	Began(ctx context.Context, now time.Time, req *amaranthtide.Request, in amaranthtide.Instance)
	// VersionOf returns the version that began the stream that a request takes up again. An error means
	// that it isn't known.
	VersionOf(ctx context.Context, now time.Time, req *amaranthtide.Request) (amaranthtide.VersionName, error)
}

// bindVersion binds a request that takes up a stream to the version that began it. An error means that the
// request must not run.
func (r *requestRun) bindVersion(ctx context.Context, now time.Time) error {
	if r.dispatcher.opts.Streams == nil || r.req.ResumesAfter == "" {
		return nil
	}
	v, err := r.dispatcher.opts.Streams.VersionOf(ctx, now, r.req)
	if err != nil {
		return err
	}
	r.began = amaranthtide.Some(v)
	return nil
}

// streamBegan binds the stream to the version of the server that has written its first event.
func (r *requestRun) streamBegan(ctx context.Context, now time.Time, in amaranthtide.Instance) {
	if _, bound := r.began.Get(); bound {
		return
	}
	r.began = amaranthtide.Some(in.Version)
	if r.dispatcher.opts.Streams != nil {
		r.dispatcher.opts.Streams.Began(ctx, now, r.req, in)
	}
}

// ofStream returns the servers that may go on with the request's stream, all of them if it has none yet.
func (r *requestRun) ofStream(servers []amaranthtide.Instance) []amaranthtide.Instance {
	v, bound := r.began.Get()
	if !bound {
		return servers
	}
	return continuation.Servers(servers, v)
}
