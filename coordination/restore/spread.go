package restore

import "time"

const (
	// registrationTime is the part of the spread for each router, and maxSpread the limit: a store takes some
	// hundred writes a second, and others write to it at that moment too.
	registrationTime = 15 * time.Millisecond
	maxSpread        = 4 * time.Second
)

// Spread returns the time over which the routers of a fleet write their registrations again after a restore,
// each at a random moment.
func Spread(routers int) time.Duration {
	return max(time.Millisecond, min(time.Duration(routers)*registrationTime, maxSpread))
}
