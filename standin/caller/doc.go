// Package caller is a load tool: it drives many callers against the routers of a
// deployment and checks every answer against the deterministic answers of the
// stand-ins. It counts by its own knowledge and that of the stand-ins only.
//
// # Usage
//
//	l := caller.New(caller.Config{
//		Routers:    addrs,
//		Model:      "m",
//		Route:      "register",
//		Workspaces: []caller.Workspace{{Name: "large-club", Appraisers: 100, Captioners: 20, Cashiers: 5}},
//		Duration:   20 * time.Second,
//		Observer:   o,
//	})
//	result := l.Run(ctx)
//	if !result.Kept() {
//		...
//	}
//
// # Callers
//
// An appraiser holds a chat of several streamed turns with pauses and resends the
// whole history with each turn. A captioner sends short requests of class quick that
// are not streamed. A cashier calls a plain service with an idempotency key and tries
// again with the same key while it is told "not run" or can't tell. Chats make no
// second try. All choices of a caller come from the seed, so that two runs send the
// same requests as far as the answers allow.
//
// A caller is one goroutine. Routers are picked like by the platform's balancer:
// round robin or at random, without those that just refused a connection.
//
// # Outcomes
//
// Every request has exactly one outcome:
//
//	answered   the whole answer, and its own
//	refused    told that it was not run (for a cashier: by the last try, and all others too)
//	failed     told that it ran and failed, also by an error event in a stream
//	unknown    the connection broke, or told that nobody can tell
//	wrong      an answer that is complete by its form, but of other content
//	truncated  an answer that is complete by its form, but a beginning of the right one
package caller
