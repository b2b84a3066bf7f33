package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"amaranthtide"
)

// field binds a key of the file to a field of Settings. The function set parses and
// stores a value and reports whether it is allowed; get formats the stored one.
type field struct {
	section string
	key     string
	allowed string
	set     func(text string) bool
	get     func() string
}

const (
	minFleetKey   = 16
	maxBodyLimit  = 4 << 20
	maxQueueLimit = 100_000
	// maxMemoryMegabytes is 1 TB, maxConnectionLimit the most that descriptors allow.
	maxMemoryMegabytes = 1 << 20
	maxConnectionLimit = 1 << 20
	maxDuration        = 24 * time.Hour
)

// fields returns the fields of all sections but operators, in the order of the file.
func (s *Settings) fields() []field {
	return []field{
		nameField("router", "vm", &s.Router.VM),
		nameField("router", "zone", &s.Router.Zone),
		addressField("router", "listen", &s.Router.Listen),
		addressField("router", "callers", &s.Router.Callers),
		addressField("router", "console", &s.Router.Console),
		{
			"router", "fleetKey", fmt.Sprintf("at least %d characters", minFleetKey),
			func(text string) bool { s.Router.FleetKey = text; return len(text) >= minFleetKey },
			func() string { return s.Router.FleetKey },
		},
		seedsField(&s.Router.Seeds),
		durationField("router", "shutdownGrace", &s.Router.ShutdownGrace, 0),
		durationField("router", "drainTimeout", &s.Router.DrainTimeout, time.Second),
		addressField("platform", "address", &s.Platform.Address),
		durationField("platform", "timeout", &s.Platform.Timeout, 10*time.Millisecond),
		durationField("platform", "vmListInterval", &s.Platform.VMListInterval, 100*time.Millisecond),
		intField("control", "bytesPerSecond", &s.Control.BytesPerSecond, 100, 20_000),
		durationField("control", "tableInterval", &s.Control.TableInterval, 100*time.Millisecond),
		durationField("control", "probeInterval", &s.Control.ProbeInterval, 50*time.Millisecond),
		durationField("control", "digestInterval", &s.Control.DigestInterval, 50*time.Millisecond),
		intField("limits", "maxBodyBytes", &s.Limits.MaxBodyBytes, 1, maxBodyLimit),
		intField("limits", "maxQueue", &s.Limits.MaxQueue, 0, maxQueueLimit),
		intField("limits", "memoryMegabytes", &s.Limits.MemoryMegabytes, 0, maxMemoryMegabytes),
		intField("limits", "maxConnections", &s.Limits.MaxConnections, 0, maxConnectionLimit),
		enumField("log", "level", &s.Log.Level, "trace", "debug", "info", "warn", "error"),
		{
			"log", "format", "text or json",
			func(text string) bool { s.Log.JSON = text == "json"; return text == "json" || text == "text" },
			func() string {
				if s.Log.JSON {
					return "json"
				}
				return "text"
			},
		},
	}
}

func nameField[T ~string](section, key string, v *T) field {
	return field{
		section, key, "1 to 63 letters, digits, - or _",
		func(text string) bool { *v = T(text); return amaranthtide.CheckName(key, text) == nil },
		func() string { return string(*v) },
	}
}

func addressField(section, key string, v *netip.AddrPort) field {
	return field{
		section, key, "an IP address and a port, such as 10.0.0.1:7000",
		func(text string) bool {
			a, err := netip.ParseAddrPort(text)
			*v = a
			return err == nil
		},
		func() string { return v.String() },
	}
}

func seedsField(v *[]netip.AddrPort) field {
	return field{
		"router", "seeds", "IP addresses with ports, separated by commas",
		func(text string) bool {
			seeds, ok := parseSeeds(text)
			*v = seeds
			return ok
		},
		func() string {
			texts := make([]string, len(*v))
			for i, a := range *v {
				texts[i] = a.String()
			}
			return strings.Join(texts, ",")
		},
	}
}

func parseSeeds(text string) ([]netip.AddrPort, bool) {
	var seeds []netip.AddrPort
	for part := range strings.SplitSeq(text, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		a, err := netip.ParseAddrPort(part)
		if err != nil {
			return nil, false
		}
		seeds = append(seeds, a)
	}
	return seeds, true
}

func durationField(section, key string, v *time.Duration, minimum time.Duration) field {
	return field{
		section, key, fmt.Sprintf("a duration from %v to %v, such as 1.5s", minimum, maxDuration),
		func(text string) bool {
			d, err := time.ParseDuration(text)
			*v = d
			return err == nil && d >= minimum && d <= maxDuration
		},
		func() string { return v.String() },
	}
}

func intField(section, key string, v *int, minimum, maximum int) field {
	return field{
		section, key, fmt.Sprintf("a whole number from %d to %d", minimum, maximum),
		func(text string) bool {
			n, err := strconv.Atoi(text)
			*v = n
			return err == nil && n >= minimum && n <= maximum
		},
		func() string { return strconv.Itoa(*v) },
	}
}

func enumField(section, key string, v *string, values ...string) field {
	return field{
		section, key, "one of " + strings.Join(values, ", "),
		func(text string) bool {
			*v = text
			for _, c := range values {
				if c == text {
					return true
				}
			}
			return false
		},
		func() string { return *v },
	}
}

const operatorFormat = "read or change, a colon, and the SHA-256 of the token as 64 hex digits"

func parseOperator(name, text string) (Operator, bool) {
	role, sum, _ := strings.Cut(text, ":")
	b, err := hex.DecodeString(sum)
	known := Role(role) == RoleRead || Role(role) == RoleChange
	ok := known && err == nil && len(b) == 32 && amaranthtide.CheckName("operator", name) == nil
	return Operator{amaranthtide.OperatorName(name), Role(role), strings.ToLower(sum)}, ok
}

func (o Operator) fileValue() string { return string(o.Role) + ":" + o.TokenSHA256 }
