package message_test

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"amaranthtide"
	"amaranthtide/coordination/heartbeat"
	"amaranthtide/protocol/message"
	"amaranthtide/state/outcomes"
)

var now = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func roundTrip[M any, P interface {
	*M
	message.Message
}](t *testing.T, m P) P {
	t.Helper()
	data, err := message.Append(nil, m)
	if err != nil {
		t.Fatal(err)
	}
	got := P(new(M))
	if err := message.Decode(data, got); err != nil {
		t.Fatal(err)
	}
	return got
}

// Guards against fields that are lost or changed by encoding and decoding.
func TestMessagesRoundTrip(t *testing.T) {
	is := is.New(t)
	load := amaranthtide.ServerLoad{Server: "e1", Boot: "b1", InFlight: 7, Allowance: 9, CompletionsPerSecond: 2.5}
	report := amaranthtide.RouterReport{
		VM: "vm-1", Zone: "a", Address: netip.MustParseAddrPort("10.0.0.1:7000"), Incarnation: 3, Sequence: 1 << 40,
		Revision: 5, View: 1<<64 - 1, Leaving: true, Interval: 150 * time.Millisecond, Loads: []amaranthtide.ServerLoad{load},
	}
	gotReport, err := roundTrip(t, message.NewReport(report)).ToDomain()
	is.NoErr(err)
	is.Equal(gotReport, report)

	load.Server, load.Boot = "", ""
	sent := heartbeat.Heartbeat{
		VM: "vm-1", Incarnation: 3, Sequence: 1 << 40, Base: 9, Revision: 5, View: 1<<64 - 1, Leaving: true,
		Interval: 150 * time.Millisecond, Loads: []amaranthtide.ServerLoad{load, load},
	}
	is.Equal(roundTrip(t, message.NewHeartbeat(sent)).ToDomain(), sent)
	_, err = message.Append(nil, &message.Heartbeat{Counts: make([]uint32, 4)})
	is.True(amaranthtide.IsKind(err, amaranthtide.KindBadRequest))
	load.Server = "e1"

	zoneLoad := load
	zoneLoad.Boot, zoneLoad.Allowance = "", 0
	digest := amaranthtide.ZoneDigest{
		Zone: "a", From: "vm-1", Sequence: 2, Revision: 5,
		Live: []amaranthtide.VMName{"vm-1", "vm-2"}, Loads: []amaranthtide.ServerLoad{zoneLoad},
	}
	is.Equal(roundTrip(t, message.NewDigest(digest)).ToDomain(), digest)

	loads := amaranthtide.LoadReport{
		From:        amaranthtide.RouterEntry{VM: "vm-1", Zone: "a", Address: netip.MustParseAddrPort("10.0.0.1:7000")},
		Incarnation: 3, Sequence: 1 << 40, DeclaredVersion: ver(5), RegistryVersion: ver(6), Hubs: []amaranthtide.VMName{"vm-9"}, EvidenceHash: 1 << 63,
		Loads: []amaranthtide.ServerLoad{{Server: "e1", InFlight: 7}},
	}
	gotLoads, err := roundTrip(t, message.NewLoadReport(loads)).ToDomain()
	is.NoErr(err)
	is.Equal(gotLoads, loads)

	loads.Loads[0].BodyBytes, loads.Loads[0].Pace = 4<<20, amaranthtide.PaceEstimate{Pace: 400, Age: 1300 * time.Millisecond}
	gotLoads, err = roundTrip(t, message.NewLoadReport(loads)).ToDomain()
	is.NoErr(err)
	is.Equal(gotLoads, loads)

	for _, limit := range []amaranthtide.ServerLimit{{Rate: 0.333, Age: 30 * time.Second}, {Rate: 20}, {Ended: true, Age: 10 * time.Millisecond}, {Ended: true}} {
		loads.Loads[0].Limit = limit
		gotLoads, err = roundTrip(t, message.NewLoadReport(loads)).ToDomain()
		is.NoErr(err)
		is.Equal(gotLoads, loads)
	}

	evidence := amaranthtide.CrashEvidence{
		Crashes:     []amaranthtide.ServerCrash{{Service: "pool", Server: "e1", At: now, Prompt: 1 << 63, Parts: []amaranthtide.PromptPart{"base", "x"}, Begun: true}},
		Answers:     []amaranthtide.PartAnswer{{Service: "pool", Part: "base", At: now.Add(-time.Second)}},
		Quarantines: []amaranthtide.Quarantine{{Service: "pool", Part: "x", Companions: []amaranthtide.PromptPart{"y"}, LastCrash: now.Add(-time.Hour), Level: 2}},
	}
	is.Equal(roundTrip(t, message.NewCrashEvidence(now, "vm-1", 7, evidence)).ToDomain(now), evidence)

	changes := []amaranthtide.Change{
		{Revision: 6, Time: now.Add(3 * time.Millisecond), Operator: "op", Key: amaranthtide.RowKey{Kind: amaranthtide.RowZone, Name: "a"}, After: amaranthtide.Zone{OutOfService: true}},
		{Revision: 7, Time: now, Operator: "op", Key: amaranthtide.RowKey{Kind: amaranthtide.RowZone, Name: "a"}, Before: amaranthtide.Zone{OutOfService: true}},
	}
	m, err := message.NewChanges(5, changes)
	is.NoErr(err)
	after, gotChanges, err := roundTrip(t, m).ToDomain()
	is.NoErr(err)
	is.Equal(after, amaranthtide.Revision(5))
	is.Equal(gotChanges, changes)

	is.Equal(roundTrip(t, &message.ChangesRequest{After: 9}).After, uint64(9))
	is.Equal(roundTrip(t, &message.Window{Bytes: 8192}).Bytes, uint32(8192))
	is.Equal(*roundTrip(t, &message.Cancel{}), message.Cancel{})
	is.Equal(*roundTrip(t, &message.Control{Topic: "report", Payload: []byte("x")}), message.Control{Topic: "report", Payload: []byte("x")})

	head := amaranthtide.AnswerHead{Attempt: "t1", Server: "e1", Status: 200, Header: []amaranthtide.HeaderField{{Name: "A", Value: "b"}}}
	is.Equal(roundTrip(t, message.NewHead(head)).ToDomain(), head)
}

// Guards against load reports that routers of the version before can't read, or the other way round,
// while a fleet is updated.
func TestLoadReportOfOtherVersions(t *testing.T) {
	is := is.New(t)
	fields := func(server ...any) []any {
		return []any{"vm-1", "a", []byte{10, 0, 0, 1, 0x1b, 0x58}, 1, 2, 0, 0, []string{}, []any{server}, 0, 0}
	}
	for _, server := range [][]any{{"e1", 7}, {"e1", 7, 0, 0, 0}, {"e1", 7, 0, 0, 0, 0, 0, "added later"}} {
		data, err := msgpack.Marshal(fields(server...))
		is.NoErr(err)
		var m message.LoadReport
		is.NoErr(message.Decode(data, &m))
		r, err := m.ToDomain()
		is.NoErr(err)
		is.Equal(r.Loads, []amaranthtide.ServerLoad{{Server: "e1", InFlight: 7}})
	}
}

// Guards against a deadline that shifts by the difference between the clocks of two
// VMs, and against request fields that are lost between routers.
func TestForwardSendsRemainingTime(t *testing.T) {
	is := is.New(t)
	req := &amaranthtide.Request{
		ID: "r", Attempt: "t", Workspace: "w", Chat: "c", Model: "m", Route: "o", Class: amaranthtide.ClassQuick, Weight: 3,
		Key: "k", Cost: 100, Deadline: now.Add(1500 * time.Millisecond), Stream: true, Method: "POST", Path: "/p", Query: "q=1",
		Header: []amaranthtide.HeaderField{{Name: "A", Value: "b"}}, Body: []byte("body"),
	}
	wire := roundTrip(t, message.NewForward(now, "e1", req, 32<<10))
	is.Equal(wire.Window, uint32(32<<10))
	later := now.Add(time.Hour)
	server, got := wire.ToDomain(later)
	is.Equal(server, amaranthtide.BackendServerName("e1"))
	is.Equal(got.Deadline, later.Add(1500*time.Millisecond))
	got.Deadline = req.Deadline
	is.Equal(got, req)

	_, expired := message.NewForward(now.Add(time.Hour), "e1", req, 1).ToDomain(later)
	is.Equal(expired.Deadline, later.Add(time.Millisecond)) // must not become "no deadline"
	req.Deadline = time.Time{}
	_, unbounded := message.NewForward(now, "e1", req, 1).ToDomain(later)
	is.True(unbounded.Deadline.IsZero())
}

// Guards against an error that reaches the entry VM with another kind, such as "not
// run" that becomes "unknown", and against an unknown kind that is read as success.
func TestEndPreservesErrorKind(t *testing.T) {
	is := is.New(t)
	for _, k := range amaranthtide.Kinds() {
		err := roundTrip(t, message.NewEnd(3, amaranthtide.WithRetryAfter(amaranthtide.Errorf(k, "why"), 70*time.Millisecond))).Err()
		is.Equal(amaranthtide.KindOf(err), k)
		is.Equal(amaranthtide.RetryAfterOf(err), 70*time.Millisecond)
		is.Equal(err.Error(), "why")
	}
	n := amaranthtide.ServerNotice{Leaving: true, Pause: 1500 * time.Millisecond}
	is.Equal(amaranthtide.NoticeOf(roundTrip(t, message.NewEnd(3, amaranthtide.WithNotice(errors.New("why"), n))).Err()), n)
	is.NoErr(roundTrip(t, message.NewEnd(3, nil)).Err())
	is.Equal(amaranthtide.KindOf((&message.End{Kind: "fromTheFuture"}).Err()), amaranthtide.KindInternal)
	is.Equal(amaranthtide.KindOf((&message.End{}).Err()), amaranthtide.KindInternal)
	is.Equal(len(message.NewEnd(0, errors.New(strings.Repeat("ä", message.MaxErrorText))).Message), message.MaxErrorText)
	data, err := msgpack.Marshal(map[string]any{"whole": true, "kind": "full"})
	is.NoErr(err)
	is.True(message.Decode(data, &message.End{}) != nil)
}

// Guards against input that exhausts the stack or memory.
func TestLimits(t *testing.T) {
	is := is.New(t)
	_, err := message.Append(nil, &message.Forward{Body: make([]byte, message.MaxBody)})
	is.NoErr(err)
	_, err = message.Append(nil, &message.Forward{Body: make([]byte, message.MaxBody+1)})
	is.True(amaranthtide.IsKind(err, amaranthtide.KindTooLarge))
	_, err = message.Append(nil, &message.Head{Header: []message.Field{{Value: strings.Repeat("x", message.MaxHeader+1)}}})
	is.True(amaranthtide.IsKind(err, amaranthtide.KindTooLarge))
	_, err = message.Append(nil, &message.Forward{Chat: strings.Repeat("x", message.MaxName+1)})
	is.True(amaranthtide.IsKind(err, amaranthtide.KindBadRequest))

	// A map with an unknown field, whose value the msgpack decoder would skip.
	unknown := []byte{0x81, 0xa1, 'x'}
	nested := append(append(bytes.Clone(unknown), bytes.Repeat([]byte{0x91}, 20)...), 0xc0)
	isErrorContaining(is, message.Decode(nested, &message.Report{}), "nested")
	items, err := msgpack.Marshal(map[string]any{"x": make([]any, message.MaxItems)})
	is.NoErr(err)
	isErrorContaining(is, message.Decode(items, &message.Report{}), "items")
	items, err = msgpack.Marshal(map[string]any{"x": make([]any, message.MaxItems/2), "vm": "v"})
	is.NoErr(err)
	is.NoErr(message.Decode(items, &message.Report{}))
	is.True(message.Decode([]byte{0x80, 0x80}, &message.Report{}) != nil) // trailing bytes
}

func isErrorContaining(is *is.I, err error, text string) {
	is.Helper()
	is.True(err != nil && strings.Contains(err.Error(), text))
}

// Guards against a hand-written encoding that is not valid msgpack.
func TestChunkIsMsgpack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offset := rapid.Uint64().Draw(t, "offset")
		data := rapid.SliceOfN(rapid.Byte(), 0, 400).Draw(t, "data")
		payload := message.AppendChunk(nil, offset, data)
		if len(payload) != message.ChunkSize(offset, data) {
			t.Fatalf("got: %d bytes, want: %d", len(payload), message.ChunkSize(offset, data))
		}
		var decoded struct {
			_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package
			Offset   uint64
			Data     []byte
		}
		if err := msgpack.Unmarshal(payload, &decoded); err != nil || decoded.Offset != offset || !bytes.Equal(decoded.Data, data) {
			t.Fatalf("got: %v %v, want: %d %v", err, decoded, offset, data)
		}
		gotOffset, got, err := message.DecodeChunk(payload)
		if err != nil || gotOffset != offset || !bytes.Equal(got, data) {
			t.Fatalf("got: %d %v %v, want: %d %v", gotOffset, got, err, offset, data)
		}
	})
}

// Guards against a panic on malicious input.
func FuzzDecode(f *testing.F) {
	for _, m := range []message.Message{
		message.NewReport(amaranthtide.RouterReport{VM: "v", Loads: make([]amaranthtide.ServerLoad, 2)}),
		message.NewDigest(amaranthtide.ZoneDigest{Live: []amaranthtide.VMName{"v"}, Loads: make([]amaranthtide.ServerLoad, 2)}),
		message.NewLoadReport(amaranthtide.LoadReport{Hubs: []amaranthtide.VMName{"v"}, Loads: make([]amaranthtide.ServerLoad, 2)}),
		message.NewForward(now, "e", &amaranthtide.Request{Header: make([]amaranthtide.HeaderField, 1), Body: []byte("b")}, 9),
		message.NewEnd(1, errors.New("x")), &message.Changes{Entries: make([]message.LogEntry, 2)},
		message.NewHeartbeat(heartbeat.Heartbeat{VM: "v", Loads: make([]amaranthtide.ServerLoad, 2)}),
		message.NewCrashEvidence(now, "v", 1, amaranthtide.CrashEvidence{Crashes: make([]amaranthtide.ServerCrash, 2), Answers: make([]amaranthtide.PartAnswer, 1)}),
		message.NewOutcomes([]outcomes.List{{VM: "v", Incarnation: 1, Outcomes: make([]amaranthtide.VersionOutcomes, 2)}})[0],
		message.NewRollbacks([]amaranthtide.RolloutState{{Service: "s", Order: ver(1), To: "v2"}}),
		message.NewProof(make([]byte, message.NonceSize), netip.MustParseAddrPort("127.0.0.1:1")),
	} {
		data, err := message.Append(nil, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add(message.AppendChunk(nil, 300, []byte("data")))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, m := range []message.Message{
			&message.Report{}, &message.Heartbeat{}, &message.ReportRequest{}, &message.Digest{}, &message.LoadReport{}, &message.Changes{}, &message.ChangesRequest{}, &message.Forward{},
			&message.Window{}, &message.Cancel{}, &message.Head{}, &message.End{}, &message.Control{},
			&message.Challenge{}, &message.Proof{}, &message.Welcome{}, &message.CrashEvidence{},
			&message.Outcomes{}, &message.Rollbacks{},
		} {
			if message.Decode(data, m) != nil {
				continue
			}
			// A decoded message must pass the checks of Append and convert without a panic.
			if _, err := message.Append(nil, m); err != nil {
				t.Errorf("decoded %T can't be encoded again: %v", m, err)
			}
			switch m := m.(type) {
			case *message.Report:
				_, _ = m.ToDomain()
			case *message.Heartbeat:
				_ = m.ToDomain()
			case *message.Changes:
				_, _, _ = m.ToDomain()
			case *message.Forward:
				_, _ = m.ToDomain(now)
			case *message.End:
				_ = m.Err()
			case *message.Outcomes:
				_ = m.ToDomain()
			case *message.Rollbacks:
				_ = m.ToDomain()
			}
		}
		_, _, _ = message.DecodeChunk(data)
	})
}

func outcomeMessage(c message.OutcomeCount) *message.Outcomes {
	return &message.Outcomes{Lists: []message.OutcomeList{{Counts: []message.OutcomeCount{c}}}}
}

// Guards against counts that reach the hub under another router or version, against messages that
// a receiver rejects because of their length, and against a rollback of another rollout.
func TestRolloutMessagesRoundTrip(t *testing.T) {
	is := is.New(t)
	var lists []outcomes.List
	for i := range 100 {
		l := outcomes.List{VM: amaranthtide.VMName(fmt.Sprint("vm-", i)), Incarnation: 7}
		for _, version := range []amaranthtide.VersionName{"v1", "v2"} {
			for route := range 10 {
				o := amaranthtide.VersionOutcomes{Service: "s", Version: version, Route: amaranthtide.RouteName(fmt.Sprint(route)), Zone: "a", Answers: 9, Failures: 2}
				for range 9 {
					o.Durations.Add(time.Duration(route) * time.Second)
				}
				o.Durations[len(o.Durations)-1] = 1 << 20
				l.Outcomes = append(l.Outcomes, o)
			}
		}
		lists = append(lists, l)
	}
	var got []outcomes.List
	for _, m := range message.NewOutcomes(lists) {
		got = append(got, roundTrip(t, m).ToDomain()...)
	}
	is.Equal(got, lists)
	_, err := message.Append(nil, outcomeMessage(message.OutcomeCount{Answers: 1, Failures: 2}))
	is.True(amaranthtide.IsKind(err, amaranthtide.KindBadRequest))
	_, err = message.Append(nil, outcomeMessage(message.OutcomeCount{FirstBucket: 30, Durations: make([]uint32, 7)}))
	is.True(amaranthtide.IsKind(err, amaranthtide.KindBadRequest))

	rollback := amaranthtide.RolloutState{
		Service: "s", Order: ver(5), To: "v2", Stage: amaranthtide.RolloutRolledBack, StartedAt: now.Local(), Deadline: now.Add(time.Minute).Local(), Reason: "failures",
	}
	is.Equal(roundTrip(t, message.NewRollbacks([]amaranthtide.RolloutState{rollback})).ToDomain(), []amaranthtide.RolloutState{rollback})
	_, err = message.Append(nil, &message.Rollbacks{Rollbacks: []message.Rollback{{Service: "s", To: "v2"}}})
	is.True(amaranthtide.IsKind(err, amaranthtide.KindBadRequest))
}

// Guards against large rows that are sent uncompressed and saturate slow links, and
// against empty, removed or compressed rows that are changed by the round trip.
func TestRowsRoundTripLargeValues(t *testing.T) {
	is := is.New(t)
	large := []byte(strings.Repeat(`{"name":"route","prefix":"/a/","service":"b"},`, 10_000))
	page := amaranthtide.FeedPage{Version: ver(9), Whole: true, Rows: []amaranthtide.FeedRow{
		{Table: "t", Key: "large", Version: ver(3), Value: large},
		{Table: "t", Key: "small", Version: ver(4), Value: []byte("x")},
		{Table: "t", Key: "empty", Version: ver(5), Value: []byte{}},
		{Table: "t", Key: "gone", Version: ver(6)},
	}}
	view := amaranthtide.FeedView{Age: 250 * time.Millisecond, Reader: "vm-1"}
	m := message.NewRows("t", ver(2), page, amaranthtide.Some(view))
	data, err := message.Append(nil, m)
	is.NoErr(err)
	is.True(len(data) < len(large)/5)
	table, got, err := roundTrip(t, m).ToDomain()
	is.NoErr(err)
	is.Equal(table, amaranthtide.FeedTable("t"))
	is.Equal(got, page)
	is.Equal(roundTrip(t, m).View(), amaranthtide.Some(view))
	is.Equal(roundTrip(t, message.NewRows("t", ver(2), page, amaranthtide.None[amaranthtide.FeedView]())).View(), amaranthtide.None[amaranthtide.FeedView]())

	truncated := message.NewRows("t", ver(2), page, amaranthtide.Some(view))
	truncated.Rows[0].Value = truncated.Rows[0].Value[:100]
	_, _, err = truncated.ToDomain()
	is.Equal(amaranthtide.KindOf(err), amaranthtide.KindBadRequest)
}

// Guards against a message of compressed rows that claims the memory of the process: each
// row stays within the limit of a message, but there may be thousands of them.
func TestRowsLimitTotalInflatedSize(t *testing.T) {
	is := is.New(t)
	page := amaranthtide.FeedPage{Version: ver(9)}
	for i := range 40 {
		page.Rows = append(page.Rows, amaranthtide.FeedRow{Table: "t", Key: fmt.Sprint(i), Version: ver(3), Value: make([]byte, message.MaxSize/8)})
	}
	m := message.NewRows("t", ver(2), page, amaranthtide.None[amaranthtide.FeedView]())
	data, err := message.Append(nil, m)
	is.NoErr(err)
	is.True(len(data) < 1<<20)
	_, _, err = m.ToDomain()
	is.Equal(amaranthtide.KindOf(err), amaranthtide.KindBadRequest)
}

func ver(n uint64) amaranthtide.StoreVersion { return amaranthtide.NewStoreVersion(0, n) }
