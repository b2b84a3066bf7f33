package reading

import (
	"time"

	"amaranthtide"
)

// Lags records for how long copies of tables have stayed at a version while newer ones are known. The zero
// value is empty and ready to use. It is not safe for concurrent use.
type Lags struct {
	tables map[amaranthtide.FeedTable]lag
}

// lag records since when a copy has been at a version.
type lag struct {
	since   time.Time
	version amaranthtide.StoreVersion
}

// Behind records that a newest version was named for a table whose copy has another one. It returns how long
// the copy has been behind without progress, and false if it isn't.
func (l *Lags) Behind(now time.Time, table amaranthtide.FeedTable, copied, newest amaranthtide.StoreVersion) (time.Duration, bool) {
	if !copied.Before(newest) {
		delete(l.tables, table)
		return 0, false
	}
	known, ok := l.tables[table]
	if !ok || known.version != copied {
		l.Restart(now, table, copied)
		return 0, true
	}
	return max(0, now.Sub(known.since)), true
}

// Restart makes the time of a copy that is behind begin anew.
func (l *Lags) Restart(now time.Time, table amaranthtide.FeedTable, copied amaranthtide.StoreVersion) {
	if l.tables == nil {
		l.tables = make(map[amaranthtide.FeedTable]lag)
	}
	l.tables[table] = lag{now, copied}
}

// Forget forgets the time of a copy.
func (l *Lags) Forget(table amaranthtide.FeedTable) { delete(l.tables, table) }

// Clear forgets all times.
func (l *Lags) Clear() { clear(l.tables) }
