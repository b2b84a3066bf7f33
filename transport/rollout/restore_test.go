package rollout_test

import (
	"testing"
	"time"

	"amaranthtide"
)

// Guards against a rollout that begins again, or ends, because the store has come back from a copy without its
// last state: the order has another version there, and the state is none or an earlier one.
func TestRolloutGoesOnAfterRestore(t *testing.T) {
	for name, stage := range map[string]amaranthtide.RolloutStage{"without a state": 0, "with the first state": amaranthtide.RolloutCanary} {
		t.Run(name, func(t *testing.T) {
			simulate(t, good, func(t *testing.T, f *fleet) {
				f.order("v2")
				f.awaitStage(t, amaranthtide.RolloutShift, orderDuration)
				time.Sleep(2 * feedDelay)
				var copied amaranthtide.Option[amaranthtide.RolloutState]
				f.store.set(func() {
					if stage != 0 {
						copied = amaranthtide.Some(f.store.history[0])
					}
				})
				f.store.restore(copied)
				restored := len(f.store.history)
				for _, r := range f.all() {
					version := amaranthtide.StoreVersion{}
					f.store.set(func() { version = f.store.stateVersion })
					r.StateLost(time.Now(), service, version) // the follower holds the known state against the copy
					order, _ := f.store.order.Get()
					r.OrderChanged(time.Now(), service, f.store.orderVersion, amaranthtide.Some(order))
				}
				f.awaitStage(t, amaranthtide.RolloutSucceeded, orderDuration)
				f.store.set(func() {
					for _, s := range f.store.history[restored:] {
						if s.Stage < amaranthtide.RolloutShift || s.Order.Era() == 0 {
							t.Errorf("got: stage %v of order %v after the restore, want: the shift goes on under the new version", s.Stage, s.Order)
						}
					}
				})
			})
		})
	}
}

// Guards against a rollback that is forgotten with the copy: the version would get requests again.
func TestRollbackOutlivesRestore(t *testing.T) {
	simulate(t, good, func(t *testing.T, f *fleet) {
		f.order("v2")
		f.awaitStage(t, amaranthtide.RolloutCanary, 2*time.Second)
		f.store.setOrder(amaranthtide.None[amaranthtide.RolloutOrder]())
		f.awaitStage(t, amaranthtide.RolloutRolledBack, 3*time.Second)
		time.Sleep(2 * feedDelay)
		f.store.restore(amaranthtide.None[amaranthtide.RolloutState]())
		for _, r := range f.all() {
			r.StateLost(time.Now(), service, amaranthtide.StoreVersion{})
		}
		f.awaitStage(t, amaranthtide.RolloutRolledBack, 3*time.Second)
	})
}
