// Package platform simulates the users' platform: a transactional table service, an
// object store, a list of VMs and a store of model weights. It keeps all data in memory.
// While it runs, it can be made slow or unavailable, or lose answers.
//
// # Usage
//
//	s, err := platform.New(platform.Config{Seed: 1})
//	...
//	defer s.Close()
//	client := platformclient.New(platformclient.Config{Addr: s.Addr()})
//	s.SetFaults(platform.Faults{LostAfter: 0.3})
//
// The HTTP protocol, with JSON bodies of the types in package protocol/wire:
//
//	POST /table/commit                    wire.Transaction -> 200 wire.CommitResponse
//	                                      409 if a condition doesn't hold
//	GET  /table/row?key=K                 200 wire.Row, 404 if absent
//	GET  /table/rows?prefix=P&after=A&limit=N
//	                                      200 wire.Rows, at most 1,000 rows
//	PUT  /objects?name=N                  body is the object -> 204
//	GET  /objects?name=N                  200 with the object, 404 if absent
//	GET  /vms                             200 wire.VMs, the list of Config.VMLag ago
//	POST /weights/reservations?model=M    200 wire.Reservation
//
// Malformed calls get status 400, calls above a rate limit 429 and calls during an outage
// 503; none of them takes effect. A commit is atomic: either all its writes take effect
// or none. It counts as one write for the rate limit, regardless of its size. To lose an
// answer, the platform closes the connection without sending one.
//
// Control of the simulation, which is not subject to faults:
//
//	GET /standin/faults      Faults
//	PUT /standin/faults      Faults; absent fields keep their value
//	GET /standin/counts      Counts
//	PUT /standin/vms         wire.VMs
package platform
