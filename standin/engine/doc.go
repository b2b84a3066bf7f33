// Package engine is a stand-in for a model engine: chat completions with
// continuous batching, a prefix cache in limited memory, priorities, resumable and
// cancellable streams, lagging load reports, orders and a cold start. Its answers
// are a function of the request body, so that callers can check that they got the
// whole answer to their own request.
//
// # Usage
//
//	s, err := engine.New(engine.Config{Model: "m", Capacity: 16, ColdLimit: 2, Warmup: 10 * time.Second})
//	...
//	defer s.Close()
//	want, err := engine.Answer(body) // the text that the engine answers to body
//	s.Reboot()                       // turns cold without warning
//	fmt.Println(s.Counters())
//
// The HTTP protocol:
//
//	POST /v1/chat/completions
//
// takes a chat completion body. Headers of the call: Amaranthtide-Attempt names the
// attempt (a random one is made if absent; 409 if it is known already) and
// Amaranthtide-Priority is a whole number, greater first. The answer repeats
// Amaranthtide-Attempt. Without "stream" it is a chat.completion object with a
// Content-Length. With it, it is a stream of server-sent events with ids that rise
// from 1: a chat.completion.chunk for each token, one with the finish_reason, one
// with the usage (prompt_tokens_details.cached_tokens included) and "data: [DONE]".
// The head of a stream that can be resumed has Amaranthtide-Resumable: true.
//
//	GET /v1/streams/{attempt}
//
// resumes a stream after the event that Last-Event-ID names, from the begin without
// it. The latest reader replaces earlier ones. 404 if the attempt is not known.
//
//	DELETE /v1/streams/{attempt}
//
// cancels; 204, or 404 if the attempt is not known. A stream without a reader is
// cancelled after Config.ResumeGrace, at once if it can't be resumed.
//
//	GET /load                        wire.EngineReport as it was Config.ReportLag ago
//	POST /orders                     wire.Order -> 204; 409 if fencing is checked and the
//	                                 number is old; 504 if the deadline passed first
//
// A refusal that did not run the request has Amaranthtide-Not-Run: true and
// Amaranthtide-Reason: 503 with leaving or full, 404 with unknownModel.
//
// For scenarios:
//
//	GET  /standin/counters           Counters
//	GET  /standin/orders             list of OrderEffect
//	POST /standin/control?do=ACTION  leave, reboot, freeze, thaw, or kill with &for=DURATION
//	                                 until the restart
//	GET, PUT /standin/faults         Faults; fields that are absent keep their value
//
// # Model of an engine
//
// Up to Capacity requests run at once and each decoding step gives each of them one
// token. A step takes TokenInterval with one request and up to 1+BatchSlowdown times
// that with a full batch. Prefill of prompt tokens that are not cached is done one
// request after the other. A warm engine queues QueueLimit further requests by
// priority. A cold engine bears ColdLimit requests at boot, rising linearly to
// Capacity over Warmup; beyond that it falls over: it drops all connections, refuses
// new ones for RecoverTime and returns with a new boot identifier and empty caches.
//
// A single goroutine drives all tokens of an engine with one timer.
package engine
