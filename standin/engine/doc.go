// Package engine simulates a model engine: chat completions with continuous batching,
// a prefix cache of limited size, priorities, resumable and cancellable streams,
// delayed load reports, orders and a cold start. Its answers are a deterministic
// function of the request body, so that callers can verify that they received the
// complete answer to their own request.
//
// # Usage
//
//	s, err := engine.New(engine.Config{
//		Model:     "m",
//		Capacity:  16,
//		ColdLimit: 2,
//		Warmup:    10 * time.Second,
//	})
//	...
//	defer s.Close()
//	want, err := engine.Answer(body) // the text that the engine generates for body
//	s.Reboot()                       // drops all requests and starts cold
//	fmt.Println(s.Counters())
//
// The HTTP protocol:
//
//	POST /v1/chat/completions
//
// takes a chat completion body. The request header Amaranthtide-Attempt identifies the
// attempt (generated at random if absent; 409 if the identifier is in use), and
// Amaranthtide-Priority is an integer; higher priorities run first. The response
// header repeats Amaranthtide-Attempt. Without "stream" the response is a
// chat.completion object with a Content-Length. With it, the response is a stream of
// server-sent events with ids that count from 1: a chat.completion.chunk for each
// token, one with the finish_reason, one with the usage (including
// prompt_tokens_details.cached_tokens) and "data: [DONE]". A stream that can be
// resumed has the response header Amaranthtide-Resumable: true.
//
//	GET /v1/streams/{attempt}
//
// resumes a stream after the event given by Last-Event-ID, or from the start without
// that header. The new reader replaces the previous one. 404 if the attempt is
// unknown.
//
//	DELETE /v1/streams/{attempt}
//
// cancels an attempt; 204, or 404 if the attempt is unknown. A stream without a reader
// is cancelled after Config.ResumeGrace, or immediately if it can't be resumed.
//
//	GET /load                        the wire.EngineReport of Config.ReportLag ago
//	POST /orders                     wire.Order -> 204; 409 if fencing is checked and the
//	                                 number is outdated; 504 if the deadline has passed
//
// If the engine refuses a request without running it, the response has the headers
// Amaranthtide-Not-Run: true and Amaranthtide-Reason: status 503 with the reason
// leaving or full, or status 404 with unknownModel. The response to a completion has the
// header Amaranthtide-Leaving: 1 if the engine leaves, Amaranthtide-Limit if it limits its requests, and a
// refusal with the reason full has Retry-After if the engine asks for a pause.
//
// The answers to DELETE /v1/streams, GET /load and POST /orders repeat no identifier. A client that must
// tell them from a second copy of an earlier answer sends each of these calls on a connection of its own.
//
// Control of the simulation:
//
//	GET  /standin/counters           Counters
//	GET  /standin/orders             list of OrderEffect
//	POST /standin/control?do=ACTION  leave, reboot, freeze, thaw, or kill with the time
//	                                 until the restart as &for=DURATION
//	GET, PUT /standin/faults         Faults; absent fields keep their value
//	PUT  /standin/notice             {"leaving": VALUE, "retryAfter": VALUE}, see SetNotice;
//	                                 absent fields are removed
//
// # Simulation model
//
// Up to Capacity requests run concurrently, and each decoding step produces one token
// for each of them. A step takes TokenInterval with one request and up to
// 1+BatchSlowdown times that with a full batch. Prompt tokens that are not cached are
// prefilled sequentially, one request at a time. A warm engine queues up to QueueLimit
// further requests by priority. A cold engine accepts ColdLimit requests at boot; this
// limit rises linearly to Capacity over Warmup. A request above it crashes the engine:
// the engine closes all connections, refuses new ones for RecoverTime and restarts
// with a new boot identifier and an empty cache.
//
// A single goroutine with one timer produces all tokens of an engine.
package engine
