// Package mesh connects routers over TCP with a framed protocol. A router dials at
// most one connection to each peer. That connection carries the streams of the
// requests that the router forwards to the peer and the control messages that it
// publishes to the peer.
//
// A Mesh implements amaranthtide.Forwarder for the entry, serves forwarded
// requests with an amaranthtide.Owner, and provides a watermill publisher and
// subscriber for control topics.
//
// Connections are dialled on demand, shared by all streams to a peer, dialled again
// with exponential backoff after a failure and closed when idle. Both ends prove
// that they hold the fleet key before any other frame is handled. Both ends send
// keepalive frames, so that a frozen or unreachable peer is detected.
//
// Each stream has a window: the owner sends at most that many bytes ahead of what
// the entry's AnswerWriter has consumed. The read loop of the entry therefore never
// blocks on a stream, and a slow reader delays only its own stream. Chunk
// boundaries are not preserved: buffered chunks are delivered as one.
//
// # Usage
//
//	m, err := mesh.New(mesh.Options{
//		Listen: addr, FleetKey: key, Owner: owner, Logger: logger,
//	})
//	if err != nil {
//		return err
//	}
//	defer m.Close() // waits for all goroutines of the Mesh
//	m.SetPeers(message.TopicReport, peers)
//	err = m.Publisher().Publish(message.TopicReport, msg)
//	...
//	err = m.Forward(ctx, ownerAddr, "engine-1", req, w)
//	...
//	err = m.Shutdown(ctx) // waits for streams in flight
package mesh
