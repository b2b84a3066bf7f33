// Package caller is a load generator: it runs many callers against the routers of a
// deployment and compares every answer with the deterministic answers of the simulated
// servers. Its counts rely only on what the callers and these servers observed, not on
// anything that the routers report.
//
// # Usage
//
//	l := caller.New(caller.Config{
//		Routers:    addrs,
//		Model:      "m",
//		Route:      "register",
//		Workspaces: []caller.Workspace{
//			{Name: "large-club", ChatCallers: 100, QuickCallers: 20, ServiceCallers: 5},
//		},
//		Duration:   20 * time.Second,
//		Observer:   o,
//	})
//	result := l.Run(ctx)
//	if !result.Passed() {
//		...
//	}
//
// # Callers
//
// There are three kinds of callers. Chat callers hold chats of several streamed turns
// with pauses and resend the whole history with each turn. Quick callers send short
// requests of class quick that are not streamed. Service callers call a plain service
// with an idempotency key and retry with the same key while the outcome is "not run" or
// unknown; no other caller retries. All random choices of a caller derive from the seed,
// so that two runs send the same requests as long as they receive the same answers.
//
// Each caller is one goroutine. Like the platform's load balancer, it selects routers
// round robin or at random and skips those that have just refused a connection.
//
// # Outcomes
//
// Every request has exactly one outcome:
//
//	answered   the complete and correct answer
//	refused    an error states that the request did not run (for a call, in every try)
//	failed     an error or a stream's error event states that the request ran and failed
//	unknown    the connection broke, or an error doesn't state whether the request ran
//	wrong      the answer is formally complete, but its content is wrong
//	truncated  the answer is formally complete, but only a prefix of the correct content
package caller
