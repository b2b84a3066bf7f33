// Package restore decides what a router goes by after the platform's store has come back from an older
// copy of itself: the row that it knew before, or the one that the store has now.
//
// What the operators and the servers wrote since the copy was made, they write again, one by one. Until a
// row can be expected to have been written again, what was known before holds. A row that is written
// after the restore always holds, unless it is an older configuration or an older state of a rollout.
//
// # Usage
//
//	v := restore.Decide(restoredAt, known, copied) // rows that differ
//	if v.Keeps(now) {
//		// Go by the known row, and decide again when the store's row changes, or at v.Until.
//	}
package restore

import (
	"time"

	"amaranthtide"
)

const (
	// ServerGrace is the time after a restore in which servers write their entries again, and in which the
	// store drops the entries of servers that are gone: three heartbeats and some time to detect the restore.
	ServerGrace = 6 * time.Second
	// RouterGrace is the time in which routers write their registrations again: some seconds after the last
	// write, and spread out.
	RouterGrace = maxSpread + 8*time.Second
	// OperatorGrace is the time in which operators write their orders again. An evacuation that ended while the
	// store was away looks like one that the copy lacks, and takes its zone out of service for as long.
	OperatorGrace = 6 * time.Second
)

// Verdict tells whether the known row holds against that of the store.
type Verdict struct {
	keep bool
	// Until is when the verdict ends; the zero time means that only another row ends it.
	Until time.Time
}

// Keeps reports whether the known row holds at the given time.
func (v Verdict) Keeps(now time.Time) bool {
	return v.keep && (v.Until.IsZero() || now.Before(v.Until))
}

// take is the verdict for the row of the store.
var take = Verdict{}

// Decide returns the verdict on a row that differs, given the one that was known before a restore and the one
// that the store has since. An absent row doesn't exist, or isn't used. A verdict for an absent known row
// means that the store's row isn't used.
func Decide(restoredAt time.Time, known, copied amaranthtide.Option[amaranthtide.DecodedRow]) Verdict {
	k, isKnown := known.Get()
	c, isCopied := copied.Get()
	if cfg, ok := k.Configuration.Get(); ok {
		return decideConfiguration(cfg, c)
	}
	if state, ok := k.RolloutState.Get(); ok {
		return decideState(state, c)
	}
	if in, ok := k.Instance.Get(); ok {
		return decideInstance(restoredAt, in, c)
	}
	switch {
	case has(k.RolloutOrder) || has(c.RolloutOrder), has(k.ZoneOutOfService) && !isCopied:
		return Verdict{true, restoredAt.Add(OperatorGrace)}
	case !isKnown && has(c.Instance): // it was seen leaving
		return Verdict{true, restoredAt.Add(ServerGrace)}
	case has(k.Router): // shares of limits depend on the number of routers
		return Verdict{true, restoredAt.Add(RouterGrace)}
	default:
		return take // a zone that the copy takes out of service again may be meant to be
	}
}

func has[T any](o amaranthtide.Option[T]) bool {
	_, ok := o.Get()
	return ok
}

// decideConfiguration keeps the newest configuration for good.
func decideConfiguration(known amaranthtide.Configuration, copied amaranthtide.DecodedRow) Verdict {
	if cfg, ok := copied.Configuration.Get(); ok && cfg.Revision >= known.Revision {
		return take
	}
	return Verdict{keep: true}
}

// decideState keeps the state of a rollout that has come further, until the fleet has written it again.
func decideState(known amaranthtide.RolloutState, copied amaranthtide.DecodedRow) Verdict {
	state, ok := copied.RolloutState.Get()
	switch {
	case !ok, state.Order.Before(known.Order):
		return Verdict{keep: true}
	case state.Order.After(known.Order), state.Stage > known.Stage, state.Stage == known.Stage && state.Share >= known.Share:
		return take
	default:
		return Verdict{keep: true}
	}
}

// decideInstance keeps a server that the store lacks, unless it was leaving, and doesn't let an older entry
// take a leaving server, or an earlier start of it, back into use, or show a cold server as warm.
func decideInstance(restoredAt time.Time, known amaranthtide.Instance, copied amaranthtide.DecodedRow) Verdict {
	in, listed := copied.Instance.Get()
	switch {
	case !listed && known.Leaving, listed && in.Started.After(known.Started):
		return take
	case !listed, in.Started.Before(known.Started), known.Leaving && !in.Leaving, in.ColdUntil.Before(known.ColdUntil) && !in.Leaving:
		return Verdict{true, restoredAt.Add(ServerGrace)}
	default:
		return take
	}
}
