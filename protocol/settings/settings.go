// Package settings reads the settings of a router from an INI file and checks
// them.
//
// # Usage
//
//	cfg, err := settings.Load("router.ini")
//	if err != nil {
//		fmt.Fprintln(os.Stderr, err) // file, section, key, value and the allowed values
//		os.Exit(2)
//	}
//	cfg.Write(os.Stdout) // all settings with defaults, without the fleet key
//
// Every key is documented at its field in Settings. Unknown sections and keys are
// errors; otherwise a misspelled key would silently leave its default in effect.
package settings

import (
	"net/netip"
	"time"

	"amaranthtide"
)

// Settings are the checked settings of a router process.
type Settings struct {
	Router   Router
	Platform Platform
	Control  Control
	Limits   Limits
	Log      Log
	// Operators are the operators who may use the console address, from the section
	// "operators": the key is a name, the value "<role>:<SHA-256 of the token in hex>".
	Operators []Operator
}

// Router is the section "router".
type Router struct {
	// VM is the name of the router's VM (key "vm").
	VM amaranthtide.VMName
	// Zone is the availability zone of the VM (key "zone").
	Zone amaranthtide.ZoneName
	// Listen is the address for other routers (key "listen").
	Listen netip.AddrPort
	// Callers is the address for callers (key "callers").
	Callers netip.AddrPort
	// Console is the address for operators, health checks and metrics collectors (key
	// "console").
	Console netip.AddrPort
	// FleetKey is the secret that all routers of the fleet share (key "fleetKey").
	FleetKey string
	// Seeds are addresses of other routers to contact before the platform's VM list has
	// been read (key "seeds", separated by commas).
	Seeds []netip.AddrPort
	// ShutdownGrace is the time for which new requests are still served after a signal
	// to stop (key "shutdownGrace").
	ShutdownGrace time.Duration
	// DrainTimeout bounds the wait for requests in flight after ShutdownGrace (key
	// "drainTimeout"). Streams that it interrupts are logged.
	DrainTimeout time.Duration
}

// Platform is the section "platform".
type Platform struct {
	// Address is the address of the platform's services (key "address").
	Address netip.AddrPort
	// Timeout bounds each call to the platform (key "timeout").
	Timeout time.Duration
	// VMListInterval is the time between reads of the VM list (key "vmListInterval").
	VMListInterval time.Duration
}

// Control is the section "control".
type Control struct {
	// BytesPerSecond limits the rate of load reports (key "bytesPerSecond").
	BytesPerSecond int
	// TableInterval is the time between polls of the change log (key "tableInterval").
	TableInterval time.Duration
	// ProbeInterval is the time between load probes of an engine by its owner (key
	// "probeInterval").
	ProbeInterval time.Duration
	// DigestInterval is the time between digests that are sent to other zones (key
	// "digestInterval").
	DigestInterval time.Duration
}

// Limits is the section "limits".
type Limits struct {
	// MaxBodyBytes bounds the size of a request body (key "maxBodyBytes").
	MaxBodyBytes int
	// MaxQueue bounds the number of requests that wait for a backend server (key
	// "maxQueue").
	MaxQueue int
	// MemoryMegabytes is the memory of the process (key "memoryMegabytes"); 0 is the memory
	// of which GOMEMLIMIT is the usual part or, if that isn't set, the memory of the machine.
	MemoryMegabytes int
	// MaxConnections bounds the number of open connections of callers (key "maxConnections");
	// 0 is a share of the descriptors of the process.
	MaxConnections int
}

// Log is the section "log".
type Log struct {
	// Level is the lowest level that is logged (key "level").
	Level string
	// JSON selects JSON lines instead of key=value lines (key "format": "json" or
	// "text").
	JSON bool
}

// Role determines what an operator may do.
type Role string

const (
	// RoleRead allows reading the table, the log and the status.
	RoleRead Role = "read"
	// RoleChange also allows changes to the table.
	RoleChange Role = "change"
)

// Operator is an operator with the SHA-256 of its token in hexadecimal.
type Operator struct {
	Name        amaranthtide.OperatorName
	Role        Role
	TokenSHA256 string
}

// Default returns the values of keys that a file does not set. The names, addresses and
// secrets of a router have no default.
func Default() Settings {
	return Settings{
		Router: Router{
			ShutdownGrace: 5 * time.Second,
			DrainTimeout:  10 * time.Minute,
		},
		Platform: Platform{
			Timeout:        2 * time.Second,
			VMListInterval: 5 * time.Second,
		},
		Control: Control{
			// With 4 routers in a zone, this rate leaves room for the digests of two other
			// zones and the probes of three engines within 3 KB/s, and a dead router is
			// detected within 2 s.
			BytesPerSecond: 600,
			TableInterval:  time.Second,
			ProbeInterval:  time.Second,
			DigestInterval: time.Second,
		},
		Limits: Limits{
			MaxBodyBytes: 4 << 20,
			MaxQueue:     1024,
		},
		Log: Log{Level: "info"},
	}
}
