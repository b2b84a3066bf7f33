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
	Version StoreVersion
	// Value is nil if the row was removed.
	Value []byte
}

// FeedPage is a batch of rows from a table's feed.
type FeedPage struct {
	Rows []FeedRow
	// Version is the version up to which the page includes all changes.
	Version StoreVersion
	// Whole marks a page with all rows of the table: other rows no longer exist.
	Whole bool
	// Held are the rows of earlier eras that a page from another router holds against those of the store,
	// which has come back from an older copy; RestoreAge is the time since that router learned of it.
	Held       []FeedRow
	RestoreAge time.Duration
}

// FeedView tells how recently the feed has confirmed what a router knows of it.
type FeedView struct {
	// Age is the time since the confirmation.
	Age time.Duration
	// Reader is the router whose call the feed answered. Others have the view from it.
	Reader VMName
	// Era is the era of the store that the view is of.
	Era StoreEra
}

// Feed delivers the rows of tables and their changes. The versions of all tables come from one
// counter.
type Feed interface {
	// Next returns the whole table if after is absent or if the changes after that
	// version are no longer stored. Otherwise it waits up to the given time for a
	// change after that version and returns a page without rows if there is none.
	// Errors are KindPlatformDown.
	Next(ctx context.Context, table FeedTable, after Option[StoreVersion], wait time.Duration) (FeedPage, error)
}

// DecodedRow is the decoded content of one row of the feed. At most one field is set;
// none is set if the router doesn't use the row.
type DecodedRow struct {
	Configuration Option[Configuration]
	Instance      Option[Instance]
	// ZoneOutOfService is a zone that is out of service while the row exists.
	ZoneOutOfService Option[ZoneName]
	Router           Option[RouterEntry]
	// RolloutOrder is a rollout that operators want, RolloutState the recorded state of one.
	RolloutOrder Option[RolloutOrder]
	RolloutState Option[RolloutState]
}

// RouterEntry is a registered router.
type RouterEntry struct {
	VM      VMName
	Zone    ZoneName
	Address netip.AddrPort
	// LinkMegabits is the bandwidth of the VM's network link in Mbit/s; 0 is unknown. The
	// routers with the fastest links send to the others of their zone.
	LinkMegabits int
}

// RowDecoder decodes the rows of the platform's feed.
type RowDecoder interface {
	// Decode decodes a row. An error means that the row is malformed.
	Decode(now time.Time, row FeedRow) (DecodedRow, error)
}

// Registrar registers this router with the platform, so that other routers find it.
type Registrar interface {
	// Register writes the entry of a router. It returns the same errors as
	// TableService.
	Register(ctx context.Context, e RouterEntry) error
}
