// Package amaranthtide is a router fleet between callers and backend servers:
// model engines that stream chat completions, and plain HTTP services.
//
// Every router of a fleet is the same program. A router accepts requests from
// callers (it is then the entry of the request), picks a backend server for the
// chat and forwards the request to the owner of that backend server, the one
// router that counts, queues and admits the server's work.
//
// This root package holds what all layers share: identifiers, the rows of the
// configuration table, requests and answers, the closed list of error kinds and
// the interfaces whose implementations live in the packages below:
//
//	transport     sockets, HTTP clients and handlers, the assembled router
//	protocol      encodings of messages, settings and declarations
//	coordination  decisions: no I/O, the current time is an argument
//	state         state in shards, each shard under its own lock
//
// Imports only go down that list, and every layer may import the root package.
//
// # Usage
//
// A process that wants to be a router assembles one from checked settings:
//
//	cfg, err := settings.Load("router.ini")
//	if err != nil {
//		return err
//	}
//	r, err := router.New(cfg, router.Options{Logger: logger})
//	if err != nil {
//		return err
//	}
//	<-ctx.Done()
//	return r.Close() // waits for requests in flight
//
// The programs in cmd are thin daemons around that call.
package amaranthtide
