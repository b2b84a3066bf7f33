package spread

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/spread"
)

// Self is the name that a forwarded request carries instead of a backend server's to ask
// a router for its own copy of the table.
const Self amaranthtide.BackendServerName = ""

// snapshotTimeout limits the transfer of the table from one peer.
const snapshotTimeout = 3 * time.Second

// ServeSnapshot answers a peer with this router's copy of the table.
func (s *Spreader) ServeSnapshot(req *amaranthtide.Request, w amaranthtide.AnswerWriter) error {
	rows, revision := s.opts.Table.Snapshot()
	if revision == 0 {
		return amaranthtide.Errorf(amaranthtide.KindNoBackend, "this router has not loaded the table")
	}
	data, err := spread.EncodeSnapshot(rows, revision)
	if err != nil {
		return err
	}
	if err := w.Head(amaranthtide.AnswerHead{Attempt: req.Attempt, Status: http.StatusOK}); err != nil {
		return err
	}
	return w.Chunk(data)
}

// snapshotFromPeers requests the table from the peers, then from the seeds, and returns
// the first copy that it gets.
func (s *Spreader) snapshotFromPeers() amaranthtide.Option[spread.Snapshot] {
	var addrs []netip.AddrPort
	for _, p := range s.opts.Membership.Peers(time.Now()) {
		addrs = append(addrs, p.Address)
	}
	for _, a := range s.opts.Seeds {
		if !slices.Contains(addrs, a) {
			addrs = append(addrs, a)
		}
	}
	for _, addr := range addrs {
		snapshot, err := s.snapshotFromPeer(addr)
		if err == nil {
			return amaranthtide.Some(snapshot)
		}
		s.opts.Logger.Debug("failed to get the table from a peer", "peer", addr, "error", err)
	}
	return amaranthtide.None[spread.Snapshot]()
}

func (s *Spreader) snapshotFromPeer(addr netip.AddrPort) (spread.Snapshot, error) {
	ctx, cancel := context.WithTimeout(s.ctx, snapshotTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	req := &amaranthtide.Request{
		ID:       amaranthtide.NewRequestID(),
		Attempt:  amaranthtide.NewAttemptID(),
		Deadline: deadline,
		Cost:     1,
	}
	var buf snapshotBuffer
	if err := s.opts.Forwarder.Forward(ctx, addr, Self, req, &buf); err != nil {
		return spread.Snapshot{}, err
	}
	return spread.DecodeSnapshot(buf.data)
}

// maxSnapshotBytes limits the size of a snapshot. 19,000 workspaces take about 3 MiB.
const maxSnapshotBytes = 64 << 20

// snapshotBuffer collects the body of a snapshot.
type snapshotBuffer struct{ data []byte }

// Head implements amaranthtide.AnswerWriter.
func (b *snapshotBuffer) Head(amaranthtide.AnswerHead) error { return nil }

// Chunk implements amaranthtide.AnswerWriter.
func (b *snapshotBuffer) Chunk(p []byte) error {
	if len(b.data)+len(p) > maxSnapshotBytes {
		return amaranthtide.Errorf(amaranthtide.KindTooLarge, "table snapshot exceeds %d bytes", maxSnapshotBytes)
	}
	b.data = append(b.data, p...)
	return nil
}
