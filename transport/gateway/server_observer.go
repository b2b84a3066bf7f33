package gateway

import (
	"time"

	"amaranthtide"
	"amaranthtide/state/traffic"
)

// serverObserver passes what servers report in their answers to the components that use it.
type serverObserver struct {
	*traffic.Counter
	// gateway has the dispatcher, which is created after the observer.
	gateway *Gateway
}

var _ amaranthtide.ServerObserver = (*serverObserver)(nil)

// ServerNoticed implements amaranthtide.ServerObserver.
func (o *serverObserver) ServerNoticed(now time.Time, server amaranthtide.BackendServerName, n amaranthtide.ServerNotice) {
	o.gateway.dispatcher.ServerNoticed(now, server, n)
}
