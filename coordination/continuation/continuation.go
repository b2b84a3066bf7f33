package continuation

import (
	"slices"

	"amaranthtide"
)

// Servers returns the servers that may go on with a stream of a version. Servers whose version is unknown
// may only if no server of the service states one.
func Servers(listed []amaranthtide.Instance, v amaranthtide.VersionName) []amaranthtide.Instance {
	if v == "" && slices.ContainsFunc(listed, func(in amaranthtide.Instance) bool { return in.Version != "" }) {
		return nil
	}
	var out []amaranthtide.Instance
	for _, in := range listed {
		if in.Version == v {
			out = append(out, in)
		}
	}
	return out
}

// MustRecord reports whether a stream of a version needs a record before its first event is passed on. base is
// the base version of the service, absent if it isn't known.
func MustRecord(base amaranthtide.Option[amaranthtide.BaseVersion], v amaranthtide.VersionName) bool {
	b, ok := base.Get()
	return !ok || b.Version != v
}

// Version returns the version that began a stream by what the store says of it, and false if that isn't known.
// The record was read in the given era, the base version after it. Without a record, the stream is of the base
// version, unless the store has come back from a copy that may lack its record.
func Version(record amaranthtide.Option[amaranthtide.StreamRecord], era amaranthtide.StoreEra, base amaranthtide.Option[amaranthtide.BaseVersion]) (amaranthtide.VersionName, bool) {
	if r, ok := record.Get(); ok {
		return r.Version, true
	}
	b, ok := base.Get()
	if !ok || b.Era != era {
		return "", false
	}
	return b.Version, true
}
