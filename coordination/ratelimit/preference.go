package ratelimit

import (
	"time"

	"amaranthtide"
)

// Preference tells how a server with a limit is chosen among the servers that may get a request.
type Preference int

const (
	// Ordinary servers are chosen like those without a limit.
	Ordinary Preference = iota
	// Last is for servers that get a request if no other server has room. All routers agree on that, so that
	// chats move together, and their prompts are read by one other server.
	Last
	// First is for servers that get the next request, whatever its chat: only their responses tell that a limit
	// has ended.
	First
)

const (
	// confirmAfter is the age of a limit from which the first sender confirms it. Each other one waits for
	// confirmStep longer than the one before.
	confirmAfter = 2 * time.Second
	confirmStep  = 500 * time.Millisecond
)

// Preference returns how this router uses a server with the given limit.
func (l *Limiter) Preference(server amaranthtide.BackendServerName, limit amaranthtide.ServerLimit) Preference {
	if limit.Rate == 0 {
		return Ordinary
	}
	rank, ok := l.shares.Rank(server, l.senders(limit.Rate))
	if ok && limit.Age >= confirmAfter+time.Duration(rank)*confirmStep {
		return First
	}
	return Last
}
