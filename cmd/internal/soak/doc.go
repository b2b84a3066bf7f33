// Package soak runs real routers as separate processes on one machine, injects faults
// from outside of them and checks the promises from what callers, servers and the
// operator see.
//
// Faults are drawn from a seed: signals that stop, kill, freeze, thaw and reload
// routers; a store that refuses, delays or goes silent, for all routers or for one;
// links to servers that delay, reset, cut one way or go silent; servers that crash,
// leave, turn cold and come back, and that fail, break off or delay some of their
// answers; changes of the configuration and of zones. They
// overlap and repeat. Only processes that the soak started are ended, by their ids.
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Options{Seed: 7, Duration: 30 * time.Second, Router: []string{"bin/amaranthtidegw"}, Dir: dir})
//	if err != nil {
//		return err // the soak itself failed
//	}
//	for _, v := range report.Violations { ... }
package soak
