// Package settings reads the settings of a router from an INI file and checks
// them.
//
// # Usage
//
//	cfg, err := settings.Load("router.ini")
//	if err != nil {
//		fmt.Fprintln(os.Stderr, err) // names file, section, key, value and what is allowed
//		os.Exit(2)
//	}
//	cfg.Write(os.Stdout) // the settings in force, without the fleet key
//
// Every key is documented at its field in Settings. Unknown sections and keys are
// errors, so that a misspelled key does not silently leave a default in force.
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
	// Operators are the people who may call the operators' side, from the section
	// "operators": one key per name, the value "<role>:<SHA-256 of the token in hex>".
	Operators []Operator
}

// Router is the section "router".
type Router struct {
	// VM is the name of this machine (key "vm").
	VM amaranthtide.VMName
	// Zone is the availability zone of this machine (key "zone").
	Zone amaranthtide.ZoneName
	// Listen is where other routers reach this one (key "listen").
	Listen netip.AddrPort
	// Callers is where callers reach this router (key "callers").
	Callers netip.AddrPort
	// Console is where operators, health checks and metrics collectors reach this
	// router (key "console").
	Console netip.AddrPort
	// FleetKey is the secret that routers of the fleet share (key "fleetKey").
	FleetKey string
	// Seeds are addresses of other routers, known before the platform's list is
	// (key "seeds", separated by commas).
	Seeds []netip.AddrPort
	// ShutdownGrace is how long new requests are still served after a signal to
	// stop (key "shutdownGrace").
	ShutdownGrace time.Duration
	// DrainTimeout bounds the wait for requests in flight after the grace (key
	// "drainTimeout"). Streams that are cut by it are logged.
	DrainTimeout time.Duration
}

// Platform is the section "platform".
type Platform struct {
	// Address is where the platform's services are reached (key "address").
	Address netip.AddrPort
	// Timeout bounds one call (key "timeout").
	Timeout time.Duration
	// VMListInterval is the time between reads of the VM list (key "vmListInterval").
	VMListInterval time.Duration
}

// Control is the section "control".
type Control struct {
	// BytesPerSecond paces load reports (key "bytesPerSecond").
	BytesPerSecond int
	// TableInterval is the time between a reader's polls of the change log (key "tableInterval").
	TableInterval time.Duration
	// ProbeInterval is the time between reads of an owned engine's load (key "probeInterval").
	ProbeInterval time.Duration
	// DigestInterval is the time between digests to other zones (key "digestInterval").
	DigestInterval time.Duration
}

// Limits is the section "limits".
type Limits struct {
	// MaxBodyBytes bounds the body of a request (key "maxBodyBytes").
	MaxBodyBytes int
	// MaxQueue bounds the requests that wait for one backend server (key "maxQueue").
	MaxQueue int
}

// Log is the section "log".
type Log struct {
	// Level is the lowest level that is written (key "level").
	Level string
	// JSON selects JSON lines over key=value lines (key "format": "json" or "text").
	JSON bool
}

// Role is what an operator may do.
type Role string

// The roles of operators.
const (
	RoleRead   Role = "read"
	RoleChange Role = "change"
)

// Operator is one operator with the hash of its token.
type Operator struct {
	Name        amaranthtide.OperatorName
	Role        Role
	TokenSHA256 string
}

// Default returns the settings that are in force where a file is silent. The
// router's identity and addresses have no default.
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
			// With 4 routers in a zone this leaves room for the digests of two other
			// zones and the probes of three engines within 3 KB/s, and misses a dead
			// router within 2 s.
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
