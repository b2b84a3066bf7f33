package orders

import (
	"slices"
	"strings"

	"amaranthtide/protocol/operation"
)

// failurePrefixes are the prefixes of the planner's reasons that report a failure. All
// other reasons report a wait.
var failurePrefixes = []string{
	"the last order failed",
	"the weight store failed",
	"the engine has seen a higher fencing number",
}

func isFailure(reason string) bool {
	return slices.ContainsFunc(failurePrefixes, func(f string) bool { return strings.HasPrefix(reason, f) })
}

// sameState reports whether two states are equal, ignoring all times.
func sameState(a, b operation.OrdersStatus) bool {
	return a.Zone == b.Zone && a.VM == b.VM && a.Fencing == b.Fencing && slices.EqualFunc(a.Pending, b.Pending,
		func(x, y operation.PendingOrder) bool { return x.Server == y.Server && x.Reason == y.Reason })
}
