package spread

import (
	"amaranthtide"
	"amaranthtide/coordination/change"
)

// Poll returns the listing of the log entries after a revision. A limit of 0 is
// PageSize; a full page means that there may be more.
func Poll(after amaranthtide.Revision, limit int) Page {
	if limit <= 0 {
		limit = PageSize
	}
	return Page{change.LogPrefix, change.LogStoredKey(after), limit}
}

// Changes returns listed log entries as changes in the order of their revisions.
func Changes(listed []amaranthtide.StoredRow) ([]amaranthtide.Change, error) {
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
