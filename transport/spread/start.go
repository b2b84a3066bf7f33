package spread

import (
	"time"

	"amaranthtide"
	"amaranthtide/coordination/spread"
)

// loadTimeout is the time after which an attempt to load the table is logged as failed
// and started again. Attempts continue until one succeeds or the Spreader is closed.
const loadTimeout = 30 * time.Second

// load loads the table at start. It retries until it succeeds or the Spreader is closed.
func (s *Spreader) load() {
	for s.ctx.Err() == nil {
		loader := spread.New(time.Now().Add(loadTimeout))
		step := loader.Start(time.Now())
		for step.Do != spread.Load && step.Do != spread.Fail && s.ctx.Err() == nil {
			step = loader.Next(time.Now(), s.runStep(step))
		}
		if step.Do == spread.Fail {
			s.opts.Logger.Warn("failed to load the table, retrying", "error", step.Err)
			continue
		}
		if step.Do != spread.Load {
			return
		}
		s.opts.Table.Load(step.Rows, step.Revision)
		s.snapshotRevision = step.Revision
		s.loadedOnce.Do(func() { close(s.loaded) })
		return
	}
}

// runStep performs one step of the load and returns its result.
func (s *Spreader) runStep(step spread.Step) spread.Answer {
	switch step.Do {
	case spread.AskPeers:
		return spread.Answer{Snapshot: s.snapshotFromPeers()}
	case spread.GetObject:
		return s.snapshotFromObjectStore()
	case spread.Get:
		return spread.Answer{Result: s.opts.Platform.Do(s.ctx, step.Call)}
	case spread.List:
		rows, err := s.opts.Platform.List(s.ctx, step.Page.Prefix, step.Page.After, step.Page.Limit)
		return spread.Answer{Listed: rows, Err: err}
	default:
		s.sleep(step.Pause)
		return spread.Answer{}
	}
}

func (s *Spreader) snapshotFromObjectStore() spread.Answer {
	object, err := s.opts.Platform.GetObject(s.ctx, spread.SnapshotName)
	if err != nil {
		return spread.Answer{Err: err}
	}
	data, ok := object.Get()
	if !ok {
		return spread.Answer{}
	}
	snapshot, err := spread.DecodeSnapshot(data)
	if err != nil {
		return spread.Answer{Err: err}
	}
	return spread.Answer{Snapshot: amaranthtide.Some(snapshot)}
}
