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
