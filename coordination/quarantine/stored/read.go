package stored

import (
	"time"

	"amaranthtide"
	"amaranthtide/coordination/quarantine"
)

const (
	// maxNameLength is the longest name of a service or part in a row, in bytes, and maxCompanions
	// the largest number of companions. They limit the size of the table.
	maxNameLength = 256
	maxCompanions = 64
)

// slot is what a router knows of one row. The content of a malformed row is absent.
type slot struct {
	version amaranthtide.StoreVersion
	content amaranthtide.Option[amaranthtide.StoredQuarantine]
}

// Read replaces what is known of the rows and returns the quarantines that they hold.
func (t *Table) Read(now time.Time, rows []amaranthtide.QuarantineRow) []amaranthtide.Quarantine {
	t.loading = false
	t.slots = [amaranthtide.QuarantineSlots]slot{}
	clear(t.stored)
	var out []amaranthtide.Quarantine
	for _, row := range rows {
		if row.Slot < 0 || row.Slot >= amaranthtide.QuarantineSlots {
			continue
		}
		q, ok := row.Quarantine.Get()
		if !ok || check(q) != nil {
			t.slots[row.Slot] = slot{version: row.Version}
			continue
		}
		q.ExpiresAt = limitedExpiry(now, q)
		t.slots[row.Slot] = slot{row.Version, amaranthtide.Some(q)}
		k := id{q.Service, q.Part}
		if q.ExpiresAt.After(t.stored[k]) {
			t.stored[k] = q.ExpiresAt
		}
		if q.ExpiresAt.After(now) {
			out = append(out, quarantineOf(q))
		}
	}
	for k, row := range t.unconfirmed {
		if t.slots[row.Slot].version != row.Version {
			delete(t.unconfirmed, k) // applied, or refused from now on
		}
	}
	return out
}

// Problem returns what is wrong with a row, nil if it is well-formed.
func Problem(row amaranthtide.QuarantineRow) error {
	if row.Err != nil {
		return row.Err
	}
	q, _ := row.Quarantine.Get()
	return check(q)
}

// check returns what is wrong with the content of a row, nil if it is well-formed.
func check(q amaranthtide.StoredQuarantine) error {
	invalid := func(what string) error {
		return amaranthtide.Errorf(amaranthtide.KindBadRequest, "quarantine of %.64q in service %.64q: %s", q.Part, q.Service, what)
	}
	if q.Service == "" || q.Part == "" || len(q.Service) > maxNameLength || len(q.Part) > maxNameLength {
		return invalid("a name is missing or too long")
	}
	if len(q.Companions) > maxCompanions {
		return invalid("too many companions")
	}
	for _, p := range q.Companions {
		if p == "" || len(p) > maxNameLength {
			return invalid("a companion's name is missing or too long")
		}
	}
	if q.Level < 1 || quarantine.IsWholeRequest(q.Part) && q.Level < 2 {
		return invalid("level out of range")
	}
	if q.ExpiresAt.Unix() <= 0 {
		return invalid("expiry time missing or out of range")
	}
	return nil
}

// limitedExpiry returns the expiry time of a row, which is not further ahead than its level allows.
func limitedExpiry(now time.Time, q amaranthtide.StoredQuarantine) time.Time {
	latest := now.Add(quarantine.Duration(q.Part, q.Level))
	if q.ExpiresAt.After(latest) {
		return latest
	}
	return q.ExpiresAt
}

// quarantineOf returns what a row tells. The last crash is as long before the expiry as its level
// lasts.
func quarantineOf(q amaranthtide.StoredQuarantine) amaranthtide.Quarantine {
	return amaranthtide.Quarantine{
		Service: q.Service, Part: q.Part, Companions: q.Companions, Level: q.Level, LastCrash: q.ExpiresAt.Add(-quarantine.Duration(q.Part, q.Level)),
	}
}
