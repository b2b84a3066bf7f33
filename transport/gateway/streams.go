package gateway

import (
	"time"

	"amaranthtide"
	"amaranthtide/transport/continuation"
	"amaranthtide/transport/direct"
)

// newStreams creates the tracker of the versions of streams if the deployment has a store for it.
func (g *Gateway) newStreams() {
	if g.opts.StreamStore == nil {
		return
	}
	g.streams = continuation.New(continuation.Options{
		Store: g.opts.StreamStore, Logger: g.opts.Logger.Named("streams"),
		IsKeeper: func(now time.Time) bool { return g.position(now).IsFirst() },
	})
}

// streamVersions returns the tracker for the dispatcher, nil if there is none: a nil *continuation.Tracker in
// an interface would not be nil.
func (g *Gateway) streamVersions() direct.Streams {
	if g.streams == nil {
		return nil
	}
	return g.streams
}

func (g *Gateway) serversListed(now time.Time, listed []amaranthtide.Instance) {
	if g.streams != nil {
		g.streams.ServersListed(now, listed)
	}
}
