package reading

import (
	"time"

	"amaranthtide"
)

// Confirmations records as of when a router's copy of each table is known to be complete. An answer
// of the feed confirms the table that it is for. An answer for another table also names the newest
// version of the store, whose tables share one counter: it confirms a copy of that version, and one
// of an older version only while a call for changes of that table can be relied on.
//
// It is not safe for concurrent use. Create one with NewConfirmations.
type Confirmations struct {
	// patience is how long a copy may stay behind the newest version while its call for changes
	// is relied on.
	patience time.Duration
	tables   map[amaranthtide.FeedTable]confirmation
	lags     Lags
}

// confirmation is what is known of the copy of one table.
type confirmation struct {
	// at is the time as of which the copy was last known to be complete; zero if it never was.
	at time.Time
	// answered is set once a call for the table was answered since the last Reset.
	answered bool
	failing  bool
}

// confirm records that the copy was complete as of the given time.
func (c *confirmation) confirm(at time.Time) {
	if at.After(c.at) {
		c.at = at
	}
}

// NewConfirmations returns Confirmations without any.
func NewConfirmations(s Schedule) *Confirmations {
	return &Confirmations{patience: s.Patience(), tables: make(map[amaranthtide.FeedTable]confirmation)}
}

// Reset forgets how the calls for the tables ended. A router that starts to read the feed has no
// call for changes that it could rely on.
func (c *Confirmations) Reset() {
	for table, t := range c.tables {
		c.tables[table] = confirmation{at: t.at}
	}
	c.lags.Clear()
}

// Answered records that an answer for the table has confirmed the copy as of the given time.
func (c *Confirmations) Answered(table amaranthtide.FeedTable, at time.Time) {
	t := confirmation{at: c.tables[table].at, answered: true}
	t.confirm(at)
	c.tables[table] = t
	c.lags.Forget(table)
}

// Failed records that a call for the table has failed. Until the next answer for it, only an answer
// that names no newer version confirms the copy.
func (c *Confirmations) Failed(table amaranthtide.FeedTable) {
	t := c.tables[table]
	t.failing = true
	c.tables[table] = t
}

// Named records that an answer for another table, as of the given time, has named the newest version
// of the store. copied is the version of the copy. It reports whether that confirms the copy.
func (c *Confirmations) Named(table amaranthtide.FeedTable, at time.Time, copied, newest amaranthtide.StoreVersion) bool {
	t := c.tables[table]
	defer func() { c.tables[table] = t }()
	age, behind := c.lags.Behind(at, table, copied, newest)
	if behind && (!t.answered || t.failing || copied.Era() < newest.Era() || age > c.patience) {
		return false
	}
	t.confirm(at)
	return true
}

// HasAnswer reports whether a call for the table was answered since the last Reset.
func (c *Confirmations) HasAnswer(table amaranthtide.FeedTable) bool { return c.tables[table].answered }

// At returns the time as of which the copies of all the given tables are known to be complete; zero if
// one of them never was.
func (c *Confirmations) At(tables ...amaranthtide.FeedTable) time.Time {
	var at time.Time
	for i, table := range tables {
		if t := c.tables[table]; i == 0 || t.at.Before(at) {
			at = t.at
		}
	}
	return at
}
