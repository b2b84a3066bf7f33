package gateway

import (
	"time"

	"amaranthtide"
	"amaranthtide/transport/direct"
	"amaranthtide/transport/shutdown"
)

// explainer explains requests for a router that may be shutting down.
type explainer struct {
	dispatcher *direct.Dispatcher
	service    *shutdown.Service
}

// Explain implements amaranthtide.Explainer.
func (e *explainer) Explain(now time.Time, req *amaranthtide.Request, bodyBytes int) amaranthtide.Explanation {
	out := e.dispatcher.Explain(now, req, bodyBytes)
	if err := e.service.Check(now, req); err != nil {
		out.Chosen, out.Refusal = "", amaranthtide.NewExplainedRefusal(err)
	}
	return out
}
