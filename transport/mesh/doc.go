// Package mesh connects routers by framed TCP. One connection per pair of
// routers and direction of dialling carries the streams of forwarded requests
// and the control messages from the dialling router to the other.
//
// A Mesh is three things at once: the amaranthtide.Forwarder of the entry, the
// server that passes forwarded requests to an amaranthtide.Owner, and a
// watermill publisher and subscriber for control topics.
//
// Connections are dialled when they are first needed, shared by all streams,
// dialled again with growing waits when they break and closed when they are idle.
// Both ends prove that they hold the fleet key before anything else is read. Both
// ends send keepalive frames, so that a peer that is frozen or cut off is noticed.
//
// Each stream has a window: the owner sends at most that many bytes ahead of
// what the entry's AnswerWriter has taken. The entry's read loop therefore never
// waits for a stream, and a slow one holds up nothing but itself. The boundaries
// of chunks are not kept: chunks that wait are handed over together.
//
// # Usage
//
//	m, err := mesh.New(mesh.Options{Listen: addr, Key: key, Owner: owner, Logger: logger})
//	if err != nil {
//		return err
//	}
//	defer m.Close() // waits for all goroutines
//	m.SetPeers(message.TopicReport, peers)
//	err = m.Publisher().Publish(message.TopicReport, msg)
//	...
//	err = m.Forward(ctx, ownerAddr, "engine-1", req, w)
//	...
//	err = m.Shutdown(ctx) // waits for streams in flight
package mesh
