// Package soak runs real routers as separate processes on one machine, injects faults
// from outside and checks the routers' guarantees by what callers, servers and the
// operator observe.
//
// Faults are chosen at random from a seed: signals that stop, kill, freeze, resume and
// reload routers; a store that refuses calls or drops its history of changes; links to
// servers, between routers and from one router to the store that delay or drop data or
// reset connections; servers that leave and are replaced, that say in their answers that
// they leave or want a pause, and that fail, abort or delay some of their answers; answers that come twice, late, in two
// parts or not at all; servers that restart, and addresses that get another server; chats with much
// traffic; changes of the configuration and of zones. Faults overlap and repeat. Only processes that the soak started are signalled, by their process ids.
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Options{
//		Seed:     7,
//		Duration: 30 * time.Second,
//		Router:   []string{"bin/amaranthtidegw"},
//		Dir:      dir,
//	})
//	if err != nil {
//		return err // the soak itself failed
//	}
//	for _, v := range report.Violations { ... }
package soak
