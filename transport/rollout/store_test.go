package rollout_test

import (
	"context"
	"sync"
	"time"

	"amaranthtide"
)

// store is the part of the platform's store with the order and the state of one service.
type store struct {
	fleet *fleet

	mu           sync.Mutex
	version      amaranthtide.StoreVersion
	order        amaranthtide.Option[amaranthtide.RolloutOrder]
	orderVersion amaranthtide.StoreVersion
	state        amaranthtide.Option[amaranthtide.RolloutState]
	stateVersion amaranthtide.StoreVersion
	history      []amaranthtide.RolloutState
	down         bool
	// loseReplies makes the answers of writes get lost, delay performs writes later.
	loseReplies bool
	delay       time.Duration
}

// RecordRollout writes a state as the platform's store does.
func (s *store) RecordRollout(ctx context.Context, previous amaranthtide.StoreVersion, state amaranthtide.RolloutState) (amaranthtide.StoreVersion, error) {
	time.Sleep(messageDelay)
	s.mu.Lock()
	down, lose, delay := s.down, s.loseReplies, s.delay
	s.mu.Unlock()
	unknown := amaranthtide.Errorf(amaranthtide.KindOutcomeUnknown, "injected loss")
	switch {
	case down || ctx.Err() != nil:
		return ver(0), amaranthtide.Errorf(amaranthtide.KindPlatformDown, "injected failure")
	case delay > 0:
		time.AfterFunc(delay, func() { _, _ = s.apply(previous, state) })
		return ver(0), unknown
	}
	version, err := s.apply(previous, state)
	if lose {
		return ver(0), unknown
	}
	return version, err
}

func (s *store) apply(previous amaranthtide.StoreVersion, state amaranthtide.RolloutState) (amaranthtide.StoreVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ordered := s.order.Get()
	if s.stateVersion != previous || state.Stage != amaranthtide.RolloutRolledBack && (!ordered || s.orderVersion != state.Order) {
		return ver(0), amaranthtide.Errorf(amaranthtide.KindConflict, "injected conflict")
	}
	s.version = amaranthtide.NewStoreVersion(s.version.Era(), s.version.Number()+1)
	s.state, s.stateVersion = amaranthtide.Some(state), s.version
	s.history = append(s.history, state)
	s.fleet.deliver()
	return s.version, nil
}

// setOrder writes the order, or withdraws it.
func (s *store) setOrder(order amaranthtide.Option[amaranthtide.RolloutOrder]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = amaranthtide.NewStoreVersion(s.version.Era(), s.version.Number()+1)
	s.order, s.orderVersion = order, s.version
	s.fleet.deliver()
}

func (s *store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// restore makes the store come back in the next era from a copy with the given state, absent if the copy has
// none. The order has the lowest version there.
func (s *store) restore(state amaranthtide.Option[amaranthtide.RolloutState]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.version.Era() + 1
	s.orderVersion, s.stateVersion, s.version = amaranthtide.NewStoreVersion(era, 1), amaranthtide.StoreVersion{}, amaranthtide.NewStoreVersion(era, 3)
	if _, ok := state.Get(); ok {
		s.stateVersion = amaranthtide.NewStoreVersion(era, 2)
	}
	s.state = state
}

// stage returns the recorded stage, 0 if there is none.
func (s *store) stage() amaranthtide.RolloutStage {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, _ := s.state.Get()
	return state.Stage
}

func ver(n uint64) amaranthtide.StoreVersion { return amaranthtide.NewStoreVersion(0, n) }
