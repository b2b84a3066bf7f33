package spread

import (
	"amaranthtide"
	"amaranthtide/coordination/change"
)

// LogPage returns the listing of the log entries after a revision. A limit of 0 means
// PageSize. If the listing fills the page, there may be more entries.
func LogPage(after amaranthtide.Revision, limit int) Page {
	if limit <= 0 {
		limit = PageSize
	}
	return Page{change.LogPrefix, change.LogStoredKey(after), limit}
}

// DecodeChanges decodes listed log entries. They keep the order of the listing, which is
// that of their revisions.
func DecodeChanges(listed []amaranthtide.StoredRow) ([]amaranthtide.Change, error) {
	changes := make([]amaranthtide.Change, len(listed))
	for i, stored := range listed {
		c, err := change.DecodeChange(stored)
		if err != nil {
			return nil, err
		}
		changes[i] = c
	}
	return changes, nil
}
