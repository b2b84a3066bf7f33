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
	// Engines and Services are distributed round-robin over the zones.
	Engines, Services int
	// ZoneDelay is the one-way delay between zones, ClientDelay that between callers and
	// routers.
	ZoneDelay, ClientDelay time.Duration
	// Engine is the configuration of each engine; model, seed, report lag and hooks are
	// set by the deployment.
	Engine     engine.Config
	Workspaces []caller.Workspace
	// Weight has the weights of workspaces; the default is 1.
	Weight map[amaranthtide.WorkspaceName]int
	Pause  time.Duration
}

// Names of the only model and the only route of a deployment.
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

// Latawiec returns the deployment of a software company. Skew and cache reuse matter
// most in it, and the delay between zones is half the delay to clients.
func Latawiec() Profile {
	return Profile{
		Name: "latawiec", Zones: threeZones, RoutersPerZone: 4, Engines: 20, Services: 3,
		ZoneDelay: 2 * time.Millisecond, ClientDelay: 4 * time.Millisecond,
		Engine:     engine.Config{Capacity: 16, ColdLimit: 4, Warmup: 4 * time.Second, TokenInterval: 20 * time.Millisecond},
		Workspaces: workspaces(3, 70, 7, 1), Weight: largeWeights(3), Pause: time.Second,
	}
}

// Haneul returns the deployment of a sports office. Service during zone moves
// matters most in it, and the delay between zones is a small fraction of the delay to
// clients.
func Haneul() Profile {
	return Profile{
		Name: "haneul", Zones: threeZones, RoutersPerZone: 4, Engines: 12, Services: 3,
		ZoneDelay: 200 * time.Microsecond, ClientDelay: 4 * time.Millisecond,
		Engine:     engine.Config{Capacity: 16, ColdLimit: 4, Warmup: 4 * time.Second, TokenInterval: 20 * time.Millisecond},
		Workspaces: workspaces(3, 36, 4, 2), Weight: largeWeights(3), Pause: time.Second,
	}
}

const workspaceCount = 10

// workspaces returns workspaceCount workspaces, of which the first largeCount are large.
func workspaces(largeCount, largeAppraisers, smallAppraisers, cashiers int) []caller.Workspace {
	out := make([]caller.Workspace, workspaceCount)
	for i := range out {
		w := caller.Workspace{Name: workspaceName(i), Small: i >= largeCount, ChatCallers: smallAppraisers, QuickCallers: 1, ServiceCallers: cashiers}
		if !w.Small {
			w.ChatCallers, w.QuickCallers = largeAppraisers, largeAppraisers/4
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
