package deployment

import (
	"fmt"
	"time"

	"amaranthtide"
	"amaranthtide/standin/caller"
	"amaranthtide/standin/engine"
)

// Profile describes a deployment and its callers.
type Profile struct {
	Name           string
	Zones          []amaranthtide.ZoneName
	RoutersPerZone int
	// Engines and Services are spread over the zones in turn.
	Engines, Services int
	// ZoneDelay is the delay of one way between zones, ClientDelay that to callers.
	ZoneDelay, ClientDelay time.Duration
	// Engine is the configuration of each engine, without its model, seed and hooks.
	Engine     engine.Config
	Workspaces []caller.Workspace
	// Weight is of each workspace; the default is 1.
	Weight map[amaranthtide.WorkspaceName]int
	Pause  time.Duration
}

// Names of the one model and the one route.
const (
	Model amaranthtide.ModelName = "appraiser"
	Route amaranthtide.RouteName = "register"
)

var threeZones = []amaranthtide.ZoneName{"a", "b", "c"}

// Demo returns a small deployment: 3 zones, 12 routers, 20 engines and 3 plain
// services.
func Demo() Profile {
	return Profile{
		Name: "demo", Zones: threeZones, RoutersPerZone: 4, Engines: 20, Services: 3,
		Engine:     engine.Config{Capacity: 8, ColdLimit: 2, Warmup: 2 * time.Second, TokenInterval: 15 * time.Millisecond},
		Workspaces: workspaces(2, 45, 6, 3), Weight: largeWeights(2), Pause: 800 * time.Millisecond,
	}
}

// Latawiec returns the deployment of a software house: skew and cache reuse weigh
// more, and the delay between zones is half that to clients.
func Latawiec() Profile {
	return Profile{
		Name: "latawiec", Zones: threeZones, RoutersPerZone: 4, Engines: 20, Services: 3,
		ZoneDelay: 2 * time.Millisecond, ClientDelay: 4 * time.Millisecond,
		Engine:     engine.Config{Capacity: 16, ColdLimit: 4, Warmup: 4 * time.Second, TokenInterval: 20 * time.Millisecond},
		Workspaces: workspaces(3, 70, 7, 1), Weight: largeWeights(3), Pause: time.Second,
	}
}

// Haneul returns the deployment of a sports office: service during zone moves weighs
// more, and the delay between zones is a small fraction of that to clients.
func Haneul() Profile {
	return Profile{
		Name: "haneul", Zones: threeZones, RoutersPerZone: 4, Engines: 12, Services: 3,
		ZoneDelay: 200 * time.Microsecond, ClientDelay: 4 * time.Millisecond,
		Engine:     engine.Config{Capacity: 16, ColdLimit: 4, Warmup: 4 * time.Second, TokenInterval: 20 * time.Millisecond},
		Workspaces: workspaces(3, 36, 4, 2), Weight: largeWeights(3), Pause: time.Second,
	}
}

const workspaceCount = 10

// workspaces returns ten workspaces, the first few of them large ones with the given
// number of appraisers, and the rest with fewer.
func workspaces(large, appraisers, small, cashiers int) []caller.Workspace {
	out := make([]caller.Workspace, workspaceCount)
	for i := range out {
		w := caller.Workspace{Name: workspaceName(i), Small: i >= large, Appraisers: small, Captioners: 1, Cashiers: cashiers}
		if !w.Small {
			w.Appraisers, w.Captioners = appraisers, appraisers/4
		}
		out[i] = w
	}
	return out
}

func workspaceName(i int) amaranthtide.WorkspaceName {
	return amaranthtide.WorkspaceName(fmt.Sprintf("club-%d", i))
}

const largeWorkspaceWeight = 4

func largeWeights(large int) map[amaranthtide.WorkspaceName]int {
	weights := make(map[amaranthtide.WorkspaceName]int)
	for i := range large {
		weights[workspaceName(i)] = largeWorkspaceWeight
	}
	return weights
}
