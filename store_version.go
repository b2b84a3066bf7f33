package amaranthtide

import (
	"cmp"
	"strconv"
)

// StoreEra counts how often the platform's store has come back from an older copy of itself. A store
// that doesn't count is in era 0.
type StoreEra uint64

// StoreVersion is a version of the platform's store: a number that rises with each write, and the era in
// which the store has given it out. In a later era the store gives out the same numbers again, for other
// writes. The zero value means that there is no row, or no version yet. Versions are comparable with ==.
type StoreVersion struct {
	era    StoreEra
	number uint64
}

// NewStoreVersion returns the version with the given number in the given era.
func NewStoreVersion(era StoreEra, number uint64) StoreVersion { return StoreVersion{era, number} }

// Era returns the era of the version.
func (v StoreVersion) Era() StoreEra { return v.era }

// Number returns the number of the version, which only calls to the store and messages need.
func (v StoreVersion) Number() uint64 { return v.number }

// Compare returns -1, 0 or 1 if v is before, equal to or after o. All versions of an era are before those of
// the next one.
func (v StoreVersion) Compare(o StoreVersion) int {
	return cmp.Or(cmp.Compare(v.era, o.era), cmp.Compare(v.number, o.number))
}

// Before reports whether v is before o.
func (v StoreVersion) Before(o StoreVersion) bool { return v.Compare(o) < 0 }

// After reports whether v is after o.
func (v StoreVersion) After(o StoreVersion) bool { return v.Compare(o) > 0 }

// Max returns the later one of v and o.
func (v StoreVersion) Max(o StoreVersion) StoreVersion {
	if v.Before(o) {
		return o
	}
	return v
}

// Min returns the earlier one of v and o.
func (v StoreVersion) Min(o StoreVersion) StoreVersion {
	if v.After(o) {
		return o
	}
	return v
}

// IsZero reports whether v is the zero value.
func (v StoreVersion) IsZero() bool { return v == StoreVersion{} }

// String returns the number, behind the era and a colon unless the era is 0.
func (v StoreVersion) String() string {
	number := strconv.FormatUint(v.number, 10)
	if v.era == 0 {
		return number
	}
	return strconv.FormatUint(uint64(v.era), 10) + ":" + number
}
