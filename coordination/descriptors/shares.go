// Package descriptors divides the file descriptors of a process among its connections, so
// that a crowd of callers leaves some for servers, other routers and the store.
//
// # Usage
//
//	shares := descriptors.Divide(8192)
//	listener.SetMax(shares.Callers)
package descriptors

const (
	// files is the number of descriptors that are reserved for files.
	files = 200
	// minSockets is the part of a low limit that is left for connections.
	minSockets = 0.5
	// callerShare and serverShare are equal, since each request that is served takes a connection
	// of both kinds. What is left is for other routers and the store.
	callerShare = 0.4
	serverShare = 0.4
	// managementShare and maxManagement limit the connections of a listener for readiness
	// checks or metrics, which has few clients.
	managementShare = 0.03
	maxManagement   = 64
)

// Shares are numbers of connections.
type Shares struct {
	// Callers is the number of connections of callers.
	Callers int
	// Servers is the number of connections to backend servers.
	Servers int
	// Management is the number of connections of each other listener for HTTP.
	Management int
}

// Divide returns the shares of the connections of a process that may open n descriptors.
func Divide(n int) Shares {
	sockets := max(float64(n-files), minSockets*float64(n))
	return Shares{
		Callers:    max(1, int(callerShare*sockets)),
		Servers:    max(1, int(serverShare*sockets)),
		Management: max(1, min(maxManagement, int(managementShare*sockets))),
	}
}
