package upstream

import (
	"github.com/cespare/xxhash/v2"

	"amaranthtide"
)

// maxCarried is the number of requests that a connection remembers. The attempts of a request follow
// each other within its deadline, in which few others use the connection.
const maxCarried = 32

// carriedRequests remembers the identifiers of the last requests on a connection by their hashes. The
// zero value has none.
type carriedRequests struct {
	hashes [maxCarried]uint64
	n      int
}

// add records a request. An empty identifier is not recorded.
func (r *carriedRequests) add(id amaranthtide.RequestID) {
	if id == "" {
		return
	}
	r.hashes[r.n%maxCarried] = xxhash.Sum64String(string(id))
	r.n++
}

// has reports whether one of the last requests had the identifier.
func (r *carriedRequests) has(id amaranthtide.RequestID) bool {
	hash := xxhash.Sum64String(string(id))
	for _, h := range r.hashes[:min(r.n, maxCarried)] {
		if h == hash {
			return true
		}
	}
	return false
}
