package overload

import "time"

// Ranks is the number of ranks by which an engine orders the requests that wait for it.
const Ranks = 10

// Upper bounds of the objectives of urgent requests and of those that can wait a little. The rest
// are answers for which callers wait for seconds anyway.
const (
	urgentObjective = 500 * time.Millisecond
	soonObjective   = 1500 * time.Millisecond
)

// firstClassInterval is the mean number of requests with longer objectives of which one goes with
// the urgent ones, so that they are not starved however long the overload lasts.
const firstClassInterval = 8

// Rank returns the rank from 0 (first) to Ranks-1 of a request in the queue of an engine. Requests of
// a more urgent priority come first, whatever their objectives; lowest is the least urgent priority
// of the deployment. Within a priority, requests with a short objective come first: a queue of half a
// second makes them late, but not those that wait for a long answer. A workspace often has one
// priority for all kinds of requests, so the priority alone doesn't tell them apart. random, which may
// be any number, selects the requests with longer objectives that go with the urgent ones.
func Rank(priority, lowest int, objective time.Duration, random uint64) int {
	priority = max(priority, 0)
	classes := max(1, Ranks/(max(lowest, priority)+1))
	class := 0
	if objective > urgentObjective && random%firstClassInterval > 0 {
		class++
		if objective > soonObjective {
			class++
		}
	}
	return min(priority*classes+min(class, classes-1), Ranks-1)
}
