package amaranthtide

import (
	"context"
	"net/netip"
	"time"
)

// FeedTable names a table whose rows the platform's feed delivers.
type FeedTable string

// FeedRow is one row of the platform's feed.
type FeedRow struct {
	Table   FeedTable
	Key     string
	Version RowVersion
	// Value is nil if the row was removed.
	Value []byte
}

// FeedPage is what a table's feed delivers at once.
type FeedPage struct {
	Rows []FeedRow
	// Version is the version up to which the rows are complete.
	Version RowVersion
	// Whole marks a page with all rows of the table: rows that it lacks are gone.
	Whole bool
}

// Feed delivers the rows of tables and their changes.
type Feed interface {
	// Next returns the whole table if after is absent or the history after it is gone,
	// and else waits at most for the given time for changes after that version. A page
	// without rows means that there was none. Errors are KindPlatformDown.
	Next(ctx context.Context, table FeedTable, after Option[RowVersion], wait time.Duration) (FeedPage, error)
}

// Fact is what one row of the feed says. At most one of the options is set; none is
// set for a row that says nothing to the router.
type Fact struct {
	Configuration Option[Configuration]
	Instance      Option[Instance]
	// ZoneOut is a zone that is out of service while the row exists.
	ZoneOut Option[ZoneName]
	Router  Option[RouterEntry]
}

// RouterEntry is a registered router.
type RouterEntry struct {
	VM      VMName
	Zone    ZoneName
	Address netip.AddrPort
}

// FactReader reads the rows of the platform's feed.
type FactReader interface {
	// Read returns what a row says. An error means that the row can't be read.
	Read(now time.Time, row FeedRow) (Fact, error)
}

// Registrar makes this router known to the others.
type Registrar interface {
	// Register writes the entry of a router. Errors are as for TableService.
	Register(ctx context.Context, e RouterEntry) error
}
