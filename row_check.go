package amaranthtide

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"net/netip"
	"regexp"
	"strconv"
)

// Names appear in URLs, bearer tokens and file names, so the pattern allows only
// characters that need no escaping there.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)

const nameAllowed = "1 to 63 letters, digits, - or _, not beginning with - or _"

// CheckName returns an error for the field if name is not a valid row name.
func CheckName(field, name string) []FieldError {
	if namePattern.MatchString(name) {
		return nil
	}
	return []FieldError{{field, name, nameAllowed}}
}

const (
	maxWeight   = 1_000_000
	maxCapacity = 1_000_000
	sha256Bytes = 32
)

// Check implements RowValue.
func (w Workspace) Check() []FieldError {
	var c checker
	c.inRange("weight", w.Weight, 1, maxWeight)
	c.inRange("maxInFlight", w.MaxInFlight, 0, maxCapacity)
	if !(w.RequestsPerSecond >= 0 && w.RequestsPerSecond <= maxCapacity) {
		c.add("requestsPerSecond", strconv.FormatFloat(w.RequestsPerSecond, 'g', -1, 64), "0 to 1000000")
	}
	c.optionalName("model", string(w.Model))
	if w.Class != "" && w.Class != ClassQuick && w.Class != ClassStandard {
		c.add("class", string(w.Class), "quick or standard")
	}
	c.nonNegative("timeout", w.Timeout)
	if w.CallerKeySHA256 != "" {
		if b, err := hex.DecodeString(w.CallerKeySHA256); err != nil || len(b) != sha256Bytes {
			c.add("callerKeySha256", w.CallerKeySHA256, "64 hex digits")
		}
	}
	return c.errs
}

// Check implements RowValue.
func (s BackendServer) Check() []FieldError {
	var c checker
	c.name("zone", string(s.Zone))
	c.address("address", s.Address)
	if (s.Model == "") == (s.Route == "") {
		c.add("model", string(s.Model), "exactly one of model and route")
	}
	c.optionalName("model", string(s.Model))
	c.optionalName("route", string(s.Route))
	c.inRange("capacity", s.Capacity, 1, maxCapacity)
	c.inRange("coldLimit", s.ColdLimit, 1, max(1, s.Capacity))
	c.nonNegative("rampDuration", s.RampDuration)
	return c.errs
}

// Check implements RowValue.
func (Zone) Check() []FieldError { return nil }

// Check implements RowValue.
func (v VM) Check() []FieldError {
	var c checker
	c.name("zone", string(v.Zone))
	c.address("address", v.Address)
	return c.errs
}

const maxCapMultiple = 100

// Check implements RowValue.
func (m Model) Check() []FieldError {
	var c checker
	if m.CapMultiple != 0 && !(m.CapMultiple >= 1 && m.CapMultiple <= maxCapMultiple) {
		c.add("capMultiple", strconv.FormatFloat(m.CapMultiple, 'g', -1, 64), "0 (default) or 1 to 100")
	}
	c.inRange("capFloor", m.CapFloor, 0, maxCapacity)
	c.nonNegative("orderTimeout", m.OrderTimeout)
	return c.errs
}

// Check implements RowValue.
func (Route) Check() []FieldError { return nil }

type checker struct{ errs []FieldError }

func (c *checker) add(field, value, allowed string) {
	c.errs = append(c.errs, FieldError{field, value, allowed})
}

func (c *checker) inRange(field string, v, low, high int) {
	if v < low || v > high {
		c.add(field, strconv.Itoa(v), strconv.Itoa(low)+" to "+strconv.Itoa(high))
	}
}

func (c *checker) name(field, v string) { c.errs = append(c.errs, CheckName(field, v)...) }

func (c *checker) optionalName(field, v string) {
	if v != "" {
		c.name(field, v)
	}
}

func (c *checker) address(field string, a netip.AddrPort) {
	if !a.IsValid() || a.Port() == 0 {
		c.add(field, a.String(), "an IP address and a port, such as 10.0.0.1:7000")
	}
}

func (c *checker) nonNegative(field string, d Duration) {
	if d < 0 {
		text, _ := d.MarshalText()
		c.add(field, string(text), "0s or more")
	}
}

func unmarshalStrict(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(v)
}
