package direct

import (
	"amaranthtide"
	"amaranthtide/coordination/continuation"
)

// streamBegan binds the stream to the version of the server that has written its first event.
func (r *requestRun) streamBegan(in amaranthtide.Instance) {
	if _, bound := r.began.Get(); bound {
		return
	}
	r.began = amaranthtide.Some(in.Version)
}

// ofStream returns the servers that may go on with the request's stream, all of them if it has none yet.
func (r *requestRun) ofStream(servers []amaranthtide.Instance) []amaranthtide.Instance {
	v, bound := r.began.Get()
	if !bound {
		return servers
	}
	return continuation.Servers(servers, v)
}
