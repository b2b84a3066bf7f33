package rollout

import (
	"time"

	"amaranthtide"
)

// maxWrites is the number of steps that may wait for being recorded.
const maxWrites = 64

// write is a step to record, after the state in a row of the version previous.
type write struct {
	previous amaranthtide.StoreVersion
	state    amaranthtide.RolloutState
}

// loop records steps until the runner is closed.
func (r *Runner) loop() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case w := <-r.writes:
			r.record(w)
		}
	}
}

// record records a step. If it fails, the same step is tried again under the same condition, unless
// the feed has shown another state by then: a write whose outcome is unknown may still be performed.
// Once it has, the condition can't hold any more, so the next step need not wait.
func (r *Runner) record(w write) {
	version, err := r.opts.Recorder.RecordRollout(r.ctx, w.previous, w.state)
	now := time.Now()
	r.update(now, w.state.Service, func(s *service) {
		s.writing = false
		if err == nil {
			s.setState(now, version, amaranthtide.Some(w.state))
			s.leads = s.stateVersion == version
			return
		}
		if s.recordedVersion == w.previous {
			s.retryAt = now.Add(retryDelay)
		}
	})
	fields := []any{
		"service", string(w.state.Service), "to", string(w.state.To), "stage", w.state.Stage.String(), "share", percent(w.state.Share), "order", w.state.Order.String(),
		"previous", w.previous.String(), "version", version.String(),
	}
	switch {
	case err == nil:
		r.opts.Logger.Info("rollout recorded", fields...)
	case amaranthtide.IsKind(err, amaranthtide.KindConflict):
		r.opts.Logger.Info("rollout not recorded", append(fields, "error", err)...)
	default:
		r.opts.Logger.Warn("rollout not recorded", append(fields, "kind", amaranthtide.KindOf(err).String(), "error", err)...)
	}
}
