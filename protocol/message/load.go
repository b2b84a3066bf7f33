package message

import (
	"math"

	"amaranthtide"
)

// Load is the load of one server in a Report.
type Load struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	Server    string
	Boot      string
	InFlight  uint32
	Allowance uint32
	// RateMilli is the completion rate in thousandths of a request per second. It is
	// rounded up because readers subtract it from the load and must not subtract too
	// little.
	RateMilli uint32
}

// ZoneLoad is the load of one server in a Digest. It omits the boot
// identifier and the allowance, since only routers in the server's own zone can become its owner.
type ZoneLoad struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	Server    string
	InFlight  uint32
	RateMilli uint32
}

func newLoads(loads []amaranthtide.ServerLoad) []Load {
	out := make([]Load, len(loads))
	for i, l := range loads {
		out[i] = Load{
			Server: string(l.Server), Boot: string(l.Boot),
			InFlight: clampCount(l.InFlight), Allowance: clampCount(l.Allowance),
			RateMilli: ceilRateMilli(l.CompletionsPerSecond),
		}
	}
	return out
}

func domainLoads(loads []Load) []amaranthtide.ServerLoad {
	out := make([]amaranthtide.ServerLoad, len(loads))
	for i, l := range loads {
		out[i] = amaranthtide.ServerLoad{
			Server: amaranthtide.BackendServerName(l.Server), Boot: amaranthtide.BootID(l.Boot),
			InFlight: int(l.InFlight), Allowance: int(l.Allowance),
			CompletionsPerSecond: float64(l.RateMilli) / 1000,
		}
	}
	return out
}

func newZoneLoads(loads []amaranthtide.ServerLoad) []ZoneLoad {
	out := make([]ZoneLoad, len(loads))
	for i, l := range loads {
		out[i] = ZoneLoad{Server: string(l.Server), InFlight: clampCount(l.InFlight), RateMilli: ceilRateMilli(l.CompletionsPerSecond)}
	}
	return out
}

func domainZoneLoads(loads []ZoneLoad) []amaranthtide.ServerLoad {
	out := make([]amaranthtide.ServerLoad, len(loads))
	for i, l := range loads {
		out[i] = amaranthtide.ServerLoad{
			Server: amaranthtide.BackendServerName(l.Server), InFlight: int(l.InFlight),
			CompletionsPerSecond: float64(l.RateMilli) / 1000,
		}
	}
	return out
}

func clampCount(n int) uint32 { return uint32(min(max(n, 0), math.MaxInt32)) }

func ceilRateMilli(perSecond float64) uint32 {
	if !(perSecond > 0) { // true for NaN, too
		return 0
	}
	return uint32(min(math.Ceil(perSecond*1000), math.MaxUint32))
}
