package owner

import "amaranthtide"

// refusals collects why the servers of a group don't start a request now.
type refusals struct {
	// first is the first error of a server that doesn't pause. KindNotOwner gives way to later
	// ones.
	first error
	// full is the first server without a free slot, pausing the one whose pause ends first.
	full, pausing       *member
	fullErr, pausingErr error
}

// add adds the error with which a server has refused the request.
func (r *refusals) add(m member, err error) {
	if pause := amaranthtide.NoticeOf(err).Pause; pause > 0 {
		if r.pausing == nil || pause < amaranthtide.NoticeOf(r.pausingErr).Pause {
			r.pausing, r.pausingErr = &m, err
		}
		return
	}
	if r.first == nil || amaranthtide.IsKind(r.first, amaranthtide.KindNotOwner) {
		r.first = err
	}
	if r.full == nil && amaranthtide.IsKind(err, amaranthtide.KindFull) {
		r.full, r.fullErr = &m, err
	}
}

// summary returns the refusal of the server that may take the request earliest: a full one, else
// the one whose pause ends first. If there is neither, it returns the first error. After a refusal
// as leaving, the entry doesn't try the server again that it named.
func (r *refusals) summary() error {
	switch {
	case r.full != nil:
		return r.fullErr
	case r.pausing != nil:
		return r.pausingErr
	}
	return r.first
}

// queueable returns the servers for which the request may wait, the best one first.
func (r *refusals) queueable() []member {
	var servers []member
	for _, m := range []*member{r.full, r.pausing} {
		if m != nil {
			servers = append(servers, *m)
		}
	}
	return servers
}
