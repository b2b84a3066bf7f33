package rollout

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthtide"
)

// MaxSilence is the time since the last message from a hub after which a router in the canary
// stage sends nothing to the new version: it might not receive a rollback.
const MaxSilence = 2 * time.Second

// canaryExcess and shiftExcess are the most that a server of the new version carries in these
// stages, as multiples of its load after the shift. The load cap follows the mean of all servers,
// including those of the new version that get no requests yet.
const (
	canaryExcess = 1.3
	shiftExcess  = 1.15
)

// View is what a router knows of the servers of one service.
type View struct {
	// State is the recorded rollout of the service, if one is known.
	State amaranthtide.Option[amaranthtide.RolloutState]
	// Order is the operators' order, if one is known. It may be newer than State, or invalid.
	Order amaranthtide.Option[amaranthtide.RolloutOrder]
	// Held are the versions that have just appeared, from Arrivals.Held.
	Held amaranthtide.Set[amaranthtide.VersionName]
	// Instances are all listed servers of the service.
	Instances []amaranthtide.Instance
}

// Pools holds which servers the requests of one service may use. It is immutable. Create one with
// NewPools whenever the view changes.
type Pools struct {
	stage amaranthtide.RolloutStage
	order amaranthtide.StoreVersion
	share float64
	// old are the servers of the old versions, fresh those of the new one, and used the part of them
	// that gets requests until all chats have moved.
	old, used, fresh, all []amaranthtide.Instance
	allowed               amaranthtide.Set[amaranthtide.VersionName]
	// isAlone is set if only servers of the new version and of barred ones are listed.
	isAlone bool
}

// NewPools returns the pools of a service.
func NewPools(v View) *Pools {
	p := &Pools{allowed: amaranthtide.NewSet[amaranthtide.VersionName](), isAlone: true}
	state, known := v.State.Get()
	if known {
		p.stage, p.order, p.share = state.Stage, state.Order, state.Share
	}
	for _, in := range v.Instances {
		if in.Version != state.To && !slices.Contains(state.Barred, in.Version) {
			p.isAlone = false
		}
		switch {
		case known && in.Version == state.To:
			if state.Stage != amaranthtide.RolloutRolledBack {
				p.fresh = append(p.fresh, in)
			}
		case v.isOld(state, in):
			p.old = append(p.old, in)
			p.allowed.Add(in.Version)
		}
	}
	p.all = slices.Concat(p.fresh, p.old)
	p.used = usedServers(state, p.old, p.fresh)
	if known && (state.Stage == amaranthtide.RolloutShift || state.Stage == amaranthtide.RolloutSucceeded) {
		p.allowed.Add(state.To)
	}
	return p
}

// isOld reports whether a server of another version than the state's To gets requests. The old
// servers stop at success. A server that has started after the rollout belongs to an ordinary
// release.
func (v View) isOld(state amaranthtide.RolloutState, in amaranthtide.Instance) bool {
	if slices.Contains(state.Barred, in.Version) || v.Held.Has(in.Version) {
		return false
	}
	if state.Stage == amaranthtide.RolloutSucceeded && !in.Started.After(state.Deadline) {
		return false
	}
	order, ok := v.Order.Get()
	if !ok || order.To != in.Version {
		return true
	}
	// An order may name the version that runs already. There is nothing then to compare it with.
	return !slices.ContainsFunc(v.Instances, func(other amaranthtide.Instance) bool { return other.Version != in.Version })
}

// usedServers returns the servers of the new version that get requests until all chats have moved:
// so few that each carries somewhat more than a server will carry after the shift, since a version
// may be bad only under load. All routers select the same ones, and those of a smaller share are
// among those of a larger one. They are spread over the zones, so that a slow zone affects both
// versions alike.
func usedServers(state amaranthtide.RolloutState, old, fresh []amaranthtide.Instance) []amaranthtide.Instance {
	excess := canaryExcess
	switch {
	case len(fresh) == 0 || state.Stage.Final() || state.Share >= 1:
		return fresh
	case state.Stage == amaranthtide.RolloutShift:
		excess = shiftExcess
	}
	isUsable := func(in amaranthtide.Instance) bool { return !in.Leaving }
	usable := slices.DeleteFunc(slices.Clone(fresh), func(in amaranthtide.Instance) bool { return !isUsable(in) })
	if len(usable) == 0 {
		return fresh
	}
	oldServers := 0
	for _, in := range old {
		if isUsable(in) {
			oldServers++
		}
	}
	rank := func(name string) uint64 { return hash(state.Order, name) }
	slices.SortFunc(usable, func(a, b amaranthtide.Instance) int {
		return cmp.Or(cmp.Compare(rank(string(a.Name)), rank(string(b.Name))), cmp.Compare(a.Name, b.Name))
	})
	inZone := make(map[amaranthtide.ZoneName]int)
	type ranked struct {
		position int
		zone     uint64
		instance amaranthtide.Instance
	}
	order := make([]ranked, 0, len(usable))
	for _, in := range usable {
		order = append(order, ranked{inZone[in.Zone], rank(string(in.Zone)), in})
		inZone[in.Zone]++
	}
	slices.SortStableFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.zone, b.zone))
	})
	// Not all new servers may be listed yet.
	n := int(math.Ceil(state.Share * float64(max(oldServers, len(order))) / excess))
	n = min(max(n, 1), len(order))
	out := make([]amaranthtide.Instance, n)
	for i := range out {
		out[i] = order[i].instance
	}
	return out
}

// Request is what the selection needs to know of a request.
type Request struct {
	Chat  amaranthtide.ChatID
	ID    amaranthtide.RequestID
	Route amaranthtide.RouteName
	// Repeated is set on all attempts but the first of a request, and if it continues a stream.
	Repeated bool
	// InContact is set if the router has received a message of a hub within MaxSilence.
	InContact bool
}

// Select returns the servers that a request may use. The caller must not change the result. It is
// called once for each attempt, since m counts the calls. m is the meter of the rollout; without
// one, nothing goes to a version that isn't proven.
func (p *Pools) Select(r Request, m *Meter) []amaranthtide.Instance {
	return p.selectBy(r, m, (*Meter).take)
}

// Preview returns what Select would, but doesn't count the call.
func (p *Pools) Preview(r Request, m *Meter) []amaranthtide.Instance {
	return p.selectBy(r, m, (*Meter).preview)
}

func (p *Pools) selectBy(r Request, m *Meter, takes func(m *Meter, r Request, share float64, allowed bool) bool) []amaranthtide.Instance {
	switch p.stage {
	case amaranthtide.RolloutCanary:
		if p.isAlone {
			return p.fresh // no server could be used otherwise
		}
		if m != nil && !r.Repeated && takes(m, r, p.share, r.InContact && len(p.used) > 0 && len(p.old) > 0) {
			return p.used
		}
		return p.old
	case amaranthtide.RolloutShift:
		isMoved := p.share >= 1 || !r.Repeated && p.position(r) < p.share
		if len(p.old) == 0 {
			return p.fresh
		}
		if isMoved && len(p.used) > 0 {
			return p.used
		}
		return p.old
	case amaranthtide.RolloutSucceeded:
		return p.all
	default:
		return p.old
	}
}

// Allows reports whether all requests may use servers of the version. Prompts are fetched only from
// engines of such versions.
func (p *Pools) Allows(v amaranthtide.VersionName) bool { return p.allowed.Has(v) }

// position returns the share from which on the chat of a request uses the new version.
func (p *Pools) position(r Request) float64 {
	key := string(r.Chat)
	if key == "" {
		key = string(r.ID)
	}
	return float64(hash(p.order, key)) / math.MaxUint64
}

// hash returns a hash of a name that differs between rollouts.
func hash(order amaranthtide.StoreVersion, name string) uint64 {
	d := xxhash.New()
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, order.Number())) // writes to a hash return no error
	_, _ = d.WriteString(name)
	return d.Sum64()
}
