// Package message defines the messages between routers, their encoding and their
// conversions to and from the domain types of the root package.
//
// Messages are encoded with msgpack. Messages whose size is not critical are maps
// with camel-case field names, to which fields can be added freely. The others,
// such as reports, heartbeats, digests, the handshake and the chunks of answers, are
// arrays, to which fields can only be appended. Times are Unix times in milliseconds.
// The deadline of a request is sent as the remaining time, since the clocks of two
// VMs may differ.
//
// Decoding is bounded. Decode first scans the encoded form and rejects deep
// nesting, more than MaxItems items, extension types and trailing bytes; after
// decoding it checks the limits of the message. Input from a malicious peer
// results in an error, never in a panic.
//
// # Usage
//
//	data, err := message.Append(nil, message.NewReport(report))
//	...
//	var m message.Report
//	if err := message.Decode(data, &m); err != nil {
//		return err
//	}
//	report, err := m.ToDomain()
package message
