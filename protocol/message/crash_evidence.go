package message

import (
	"math"
	"time"

	"amaranthtide"
)

// Limits on the contents of a CrashEvidence.
const (
	// MaxEvidence is the largest number of crashes, of answers and of quarantines.
	MaxEvidence = 2048
	// MaxPromptParts is the largest number of parts of a prompt.
	MaxPromptParts = 64
)

// CrashEvidence is the encoded form of amaranthtide.CrashEvidence. Times are sent as ages, since
// the clocks of two VMs may differ.
type CrashEvidence struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	VM string
	// Hash is the hash over the evidence of the sender.
	Hash        uint64
	Crashes     []ServerCrash
	Answers     []PartAnswer
	Quarantines []Quarantine
}

// ServerCrash is the encoded form of amaranthtide.ServerCrash.
type ServerCrash struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	Service   string
	Server    string
	AgeMillis uint32
	Prompt    uint64
	Parts     []string
	Begun     bool
	// WaitedMillis is how long before the crash the request had been sent.
	WaitedMillis uint32
}

// PartAnswer is the encoded form of amaranthtide.PartAnswer.
type PartAnswer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	Service   string
	Part      string
	AgeMillis uint32
}

// Quarantine is the encoded form of amaranthtide.Quarantine.
type Quarantine struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	Service    string
	Part       string
	Companions []string
	AgeMillis  uint32
	Level      uint32
}

// NewCrashEvidence converts what a router knows to a message.
func NewCrashEvidence(now time.Time, vm amaranthtide.VMName, hash amaranthtide.EvidenceHash, e amaranthtide.CrashEvidence) *CrashEvidence {
	m := &CrashEvidence{VM: string(vm), Hash: uint64(hash)}
	for _, c := range e.Crashes {
		m.Crashes = append(m.Crashes, ServerCrash{
			Service: string(c.Service), Server: string(c.Server), AgeMillis: ageMillis(now, c.At), Prompt: uint64(c.Prompt), Parts: partNames(c.Parts), Begun: c.Begun,
			WaitedMillis: clampMillis(c.Waited),
		})
	}
	for _, a := range e.Answers {
		m.Answers = append(m.Answers, PartAnswer{Service: string(a.Service), Part: string(a.Part), AgeMillis: ageMillis(now, a.At)})
	}
	for _, q := range e.Quarantines {
		m.Quarantines = append(m.Quarantines, Quarantine{
			Service: string(q.Service), Part: string(q.Part), Companions: partNames(q.Companions), AgeMillis: ageMillis(now, q.LastCrash), Level: clampCount(q.Level),
		})
	}
	return m
}

// ToDomain converts the message, received at now, to the domain type.
func (m *CrashEvidence) ToDomain(now time.Time) amaranthtide.CrashEvidence {
	var e amaranthtide.CrashEvidence
	for _, c := range m.Crashes {
		e.Crashes = append(e.Crashes, amaranthtide.ServerCrash{
			Service: amaranthtide.ServiceName(c.Service), Server: amaranthtide.BackendServerName(c.Server), At: timeOfAge(now, c.AgeMillis),
			Prompt: amaranthtide.PromptHash(c.Prompt), Parts: domainParts(c.Parts), Begun: c.Begun,
			Waited: time.Duration(c.WaitedMillis) * time.Millisecond,
		})
	}
	for _, a := range m.Answers {
		e.Answers = append(e.Answers, amaranthtide.PartAnswer{Service: amaranthtide.ServiceName(a.Service), Part: amaranthtide.PromptPart(a.Part), At: timeOfAge(now, a.AgeMillis)})
	}
	for _, q := range m.Quarantines {
		e.Quarantines = append(e.Quarantines, amaranthtide.Quarantine{
			Service: amaranthtide.ServiceName(q.Service), Part: amaranthtide.PromptPart(q.Part), Companions: domainParts(q.Companions),
			LastCrash: timeOfAge(now, q.AgeMillis), Level: int(q.Level),
		})
	}
	return e
}

func (m *CrashEvidence) check() error {
	if err := checkNames(m.VM); err != nil {
		return err
	}
	for field, n := range map[string]int{"crashes": len(m.Crashes), "answers": len(m.Answers), "quarantines": len(m.Quarantines)} {
		if err := checkLength(field, n, MaxEvidence); err != nil {
			return err
		}
	}
	for _, c := range m.Crashes {
		if err := checkEvidence(c.Parts, c.Service, c.Server); err != nil {
			return err
		}
	}
	for _, a := range m.Answers {
		if err := checkNames(a.Service, a.Part); err != nil {
			return err
		}
	}
	for _, q := range m.Quarantines {
		if err := checkEvidence(q.Companions, q.Service, q.Part); err != nil {
			return err
		}
		if q.Level == 0 || q.Level > math.MaxInt32 {
			return badMessage("quarantine of part %q has level %d", q.Part, q.Level)
		}
	}
	return nil
}

func checkEvidence(parts []string, names ...string) error {
	if err := checkNameList("parts", parts, MaxPromptParts); err != nil {
		return err
	}
	return checkNames(names...)
}

func ageMillis(now, at time.Time) uint32 { return clampMillis(now.Sub(at)) }

func clampMillis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

func timeOfAge(now time.Time, millis uint32) time.Time {
	return now.Add(-time.Duration(millis) * time.Millisecond)
}

func partNames(parts []amaranthtide.PromptPart) []string {
	out := make([]string, len(parts))
	for i, p := range parts {
		out[i] = string(p)
	}
	return out
}

func domainParts(names []string) []amaranthtide.PromptPart {
	out := make([]amaranthtide.PromptPart, len(names))
	for i, n := range names {
		out[i] = amaranthtide.PromptPart(n)
	}
	return out
}
