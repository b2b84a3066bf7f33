package message

// Topics of control messages.
const (
	TopicReport = "report"
	// TopicHeartbeat is short because heartbeats are the most frequent messages.
	TopicHeartbeat      = "beat"
	TopicReportRequest  = "reportWanted"
	TopicDigest         = "digest"
	TopicChanges        = "changes"
	TopicChangesRequest = "changesWanted"
	TopicGroupLoad      = "groupLoad"
	TopicRows           = "rows"
	TopicRowsRequest    = "rowsWanted"
	// TopicLoads is for messages from a router to the hub of its zone, TopicZoneLoads
	// for those between hubs and TopicTotals for those from a hub to the routers that
	// report to it.
	TopicLoads     = "loads"
	TopicZoneLoads = "zoneLoads"
	TopicTotals    = "totals"
	// TopicCrashEvidence is for what routers know about requests that crash servers.
	TopicCrashEvidence = "crashes"
	// TopicOutcomes is for the outcomes of requests by the version of the server, TopicRollbacks
	// for versions that must not get requests any more.
	TopicOutcomes  = "outcomes"
	TopicRollbacks = "rollbacks"
)

// Control is the envelope of a control message.
type Control struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the msgpack package

	Topic   string
	Payload []byte
}

func (m *Control) check() error {
	if err := checkNames(m.Topic); err != nil {
		return err
	}
	return checkLength("payload", len(m.Payload), MaxSize-2*MaxName)
}
