// Package amaranthtide is a fleet of routers between callers and backend servers:
// model engines that stream chat completions, and plain HTTP services.
//
// All routers of a fleet run the same program. The router that accepts a request
// from a caller is the entry of that request. It picks a backend server for the
// chat and forwards the request to the owner of that backend server, the only
// router that counts, queues and admits the server's requests.
//
// This root package holds the declarations that all layers share: identifiers,
// the rows of the configuration table, requests and answers, the closed list of
// error kinds and the interfaces that the packages below it implement:
//
//	transport     sockets, HTTP clients and handlers, the complete router
//	protocol      encodings of messages, settings and declarations
//	coordination  decisions without I/O; the current time is an argument
//	state         sharded state; each shard has its own lock
//
// A layer imports only layers that stand below it in this list, and the root
// package.
//
// # Usage
//
// A process builds a router from validated settings:
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
// The daemons in cmd are thin wrappers around these calls.
package amaranthtide
