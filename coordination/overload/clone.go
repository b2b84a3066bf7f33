package overload

import (
	"maps"

	"amaranthtide"
)

// Clone returns a Controller that decides like c and shares nothing with it, to explain a decision
// without counting it.
func (c *Controller) Clone() *Controller {
	out := *c
	out.recent.current, out.recent.previous = maps.Clone(c.recent.current), maps.Clone(c.recent.previous)
	out.classes = make([]*class, len(c.classes))
	for i, cl := range c.classes {
		copied := *cl
		copied.workspaces = make(map[amaranthtide.WorkspaceName]*decayed, len(cl.workspaces))
		for name, ws := range cl.workspaces {
			demand := *ws
			copied.workspaces[name] = &demand
		}
		out.classes[i] = &copied
	}
	return &out
}
