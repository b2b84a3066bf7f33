package follow

import (
	"time"

	"amaranthtide"
)

// run periodically removes lapsed servers.
func (f *Follower) run() {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case now := <-ticker.C:
			f.expireServers(now)
		}
	}
}

// expireServers removes lapsed servers, and the rows whose time after a restore has passed.
func (f *Follower) expireServers(now time.Time) {
	f.mu.Lock()
	f.updateListReadability(now)
	removed := f.serverList.Expire(now)
	if len(removed) > 0 {
		f.opts.Logger.Info("servers lapsed", "servers", removed)
	}
	effects := effects{goneServers: removed}
	released := f.releaseKept(now, &effects)
	if released > 0 {
		f.opts.Logger.Info("rows from before a restore of the store released", "rows", released)
	}
	if released+len(removed) > 0 {
		f.publishRollouts(now, &effects)
		f.publishServers(now, effects.goneServers)
	}
	f.mu.Unlock()
	f.publishRouters(now, &effects)
}

// publishRouters passes changes of the registry to Options.OnRoutersChanged.
func (f *Follower) publishRouters(now time.Time, e *effects) {
	if len(e.routers)+len(e.goneRouters) > 0 {
		f.opts.OnRoutersChanged(now, e.routers, e.goneRouters)
	}
}

// Apply applies a page of a table and returns the rows that it changed.
func (f *Follower) Apply(now time.Time, table amaranthtide.FeedTable, page amaranthtide.FeedPage) []amaranthtide.FeedRow {
	f.mu.Lock()
	f.updateListReadability(now)
	var effects effects
	var changed []amaranthtide.FeedRow
	restored := f.opts.Rows.Restores(table, page)
	if restored {
		changed = f.applyRestored(now, table, page, &effects)
	} else {
		changed = f.opts.Rows.Apply(table, page)
		for _, row := range changed {
			f.applyChanged(now, row, &effects)
		}
	}
	if len(changed) == 0 && !restored {
		f.mu.Unlock()
		return nil
	}
	f.publishRollouts(now, &effects)
	f.publishServers(now, effects.goneServers)
	f.mu.Unlock()
	if restored {
		f.opts.OnRestored(table)
	}
	f.publishRouters(now, &effects)
	return changed
}
