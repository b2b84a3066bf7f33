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

// Self stands for the router itself in place of a backend server: a request that
// is forwarded to it gets the router's copy of the table.
const Self amaranthtide.BackendServerName = ""

// snapshotTimeout bounds the transfer of the table from one peer.
const snapshotTimeout = 3 * time.Second

// ServeSnapshot writes this router's copy of the table as the answer to a peer.
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

// snapshotFromPeers asks peers, and the seeds, for the table until one has it.
func (s *Spreader) snapshotFromPeers() amaranthtide.Option[spread.Snapshot] {
	var addrs []netip.AddrPort
	for _, p := range s.opts.Control.Peers(time.Now()) {
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
		s.opts.Logger.Debug("peer has no table", "peer", addr, "error", err)
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

// maxSnapshotBytes bounds a snapshot. 19,000 workspaces take about 3 MiB.
const maxSnapshotBytes = 64 << 20

type snapshotBuffer struct{ data []byte }

// Head implements amaranthtide.AnswerWriter.
func (b *snapshotBuffer) Head(amaranthtide.AnswerHead) error { return nil }

// Chunk implements amaranthtide.AnswerWriter.
func (b *snapshotBuffer) Chunk(p []byte) error {
	if len(b.data)+len(p) > maxSnapshotBytes {
		return amaranthtide.Errorf(amaranthtide.KindTooLarge, "the snapshot exceeds %d bytes", maxSnapshotBytes)
	}
	b.data = append(b.data, p...)
	return nil
}
