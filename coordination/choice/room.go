package choice

// smallBody is the size up to which the body of a request has room everywhere. Servers hold them
// beside the large ones, and a server without room for these can still do other work.
const smallBody = 64 << 10

// WithRoom returns the candidates whose memory has room for a request body of n bytes: the bodies
// that they hold, and the new one, take at most limit bytes. A limit of 0 means that all have.
//
// What the other routers send at the same moment isn't known yet. If there are such candidates, those
// at which this router stays within its share of the limit are returned alone; one body is always
// within the share.
func WithRoom(candidates []Candidate, n, limit int64, routers int) []Candidate {
	if limit <= 0 || n <= smallBody {
		return candidates
	}
	share := limit / int64(max(routers, 1))
	var room, withinShare []Candidate
	for _, c := range candidates {
		if c.BodyBytes+n > limit {
			continue
		}
		room = append(room, c)
		if c.OwnBodyBytes == 0 || c.OwnBodyBytes+n <= share {
			withinShare = append(withinShare, c)
		}
	}
	if len(withinShare) > 0 {
		return withinShare
	}
	return room
}
