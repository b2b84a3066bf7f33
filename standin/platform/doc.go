// Package platform is a stand-in for the users' platform: a transactional table
// service, an object store, a list of VMs and a weight store. It keeps everything
// in memory and can be made slow, lossy or unavailable while it runs.
//
// # Usage
//
//	s, err := platform.New(platform.Config{Seed: 1})
//	...
//	defer s.Close()
//	client := platformclient.New(platformclient.Config{Addr: s.Addr()})
//	s.SetFaults(platform.Faults{LostAfter: 0.3})
//
// The HTTP protocol, with the bodies of package protocol/wire in JSON:
//
//	POST /table/commit                    wire.Transaction -> 200 wire.Committed
//	                                      409 if a condition does not hold
//	GET  /table/row?key=K                 200 wire.Row, 404 if absent
//	GET  /table/rows?prefix=P&after=A&limit=N
//	                                      200 wire.Rows, at most 1,000 rows
//	PUT  /objects?name=N                  body is the object -> 204
//	GET  /objects?name=N                  200 with the object, 404 if absent
//	GET  /vms                             200 wire.VMs, as they were Config.VMLag ago
//	POST /weights/reservations?model=M    200 wire.Reservation
//
// 400 is a malformed call. 429 is a call above a rate limit and 503 a call during
// an outage; neither had an effect. All writes of a commit take effect or none. A
// commit counts as one write of the rate limit, whatever its size. A lost answer is
// a connection that closes without an answer.
//
// For tests and scenarios, not subject to the faults:
//
//	GET /standin/faults      Faults
//	PUT /standin/faults      Faults; fields that are absent keep their value
//	GET /standin/counts      Counts
//	PUT /standin/vms         wire.VMs
package platform
