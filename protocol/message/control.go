package message

// Topics of the control messages.
const (
	TopicReport = "report"
	// TopicHeartbeat is short, since it travels with the most frequent message.
	TopicHeartbeat     = "beat"
	TopicReportWanted  = "reportWanted"
	TopicDigest        = "digest"
	TopicChanges       = "changes"
	TopicChangesWanted = "changesWanted"
	TopicGroupLoad     = "groupLoad"
	TopicRows          = "rows"
	TopicRowsWanted    = "rowsWanted"
	// TopicLoads goes from a router to the hub of its zone, TopicZoneLoads from hub to
	// hub, TopicTotals from a hub to the routers that report to it.
	TopicLoads     = "loads"
	TopicZoneLoads = "zoneLoads"
	TopicTotals    = "totals"
)

// Control carries one control message.
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
