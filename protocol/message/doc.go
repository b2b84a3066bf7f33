// Package message holds the messages between routers and their conversions to
// and from the types of the root package.
//
// Messages are msgpack. Those whose size matters little are maps with
// camel-case field names, so that fields can be added; reports, heartbeats,
// digests, the handshake and the chunks of answers are arrays, to which fields are
// added at the end. Times are UTC
// milliseconds. The deadline of a request travels as the time that remains,
// since the clocks of two VMs may differ.
//
// Every decoder is bounded: Decode walks the encoded form before it decodes it
// and refuses deep nesting, more items than MaxItems, extension types and
// trailing bytes, and then checks the limits of each message. Input from a
// hostile peer leads to an error, never to a panic.
//
// # Usage
//
//	data, err := message.Append(nil, message.NewReport(report))
//	...
//	var m message.Report
//	if err := message.Decode(data, &m); err != nil {
//		return err
//	}
//	report, err := m.Root()
package message
