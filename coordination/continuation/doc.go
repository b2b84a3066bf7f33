// Package continuation decides which servers may go on with a stream. What servers of two versions of their
// software write doesn't fit together: a stream goes on only at the version that began it, within one answer
// and when its caller takes it up again at any router. A version that isn't known matches none.
//
// A router knows the version of a stream if it began the stream itself, if only one version has been listed
// for as long as a stream may last, or from the platform's store. There, each service has a base version,
// and only streams of other versions have a record, which is written before their first event is passed on:
// a stream without a record is of the base version. So nothing is written while one version serves, and what
// is written survives a restart of all routers.
//
// # Usage
//
//	h := continuation.NewHistory()
//	h.Observe(now, listed) // after each change of the list of servers
//	if v, ok := h.Only(now, service); ok {
//		servers = continuation.Servers(servers, v)
//	}
package continuation
