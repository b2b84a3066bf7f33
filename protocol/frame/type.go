package frame

// Type identifies the kind of message in a frame's payload.
type Type uint8

// Frame types. Their numbers are part of the protocol.
const (
	Challenge Type = 1
	Proof     Type = 2
	Welcome   Type = 3
	// Keepalive has no payload.
	Keepalive Type = 4
	Control   Type = 5
	Forward   Type = 6
	Window    Type = 7
	Cancel    Type = 8
	Head      Type = 9
	Chunk     Type = 10
	End       Type = 11
	// Leaving has no payload. It is sent by a router that shuts down. Its stream
	// number is that of the last stream that the sender accepted; the requests of
	// later streams were not run.
	Leaving Type = 12
)

var typeNames = [...]string{
	Challenge: "challenge", Proof: "proof", Welcome: "welcome", Keepalive: "keepalive",
	Control: "control", Forward: "forward", Window: "window", Cancel: "cancel",
	Head: "head", Chunk: "chunk", End: "end", Leaving: "leaving",
}

// String returns the name of the type, or "unknown".
func (t Type) String() string {
	if int(t) >= len(typeNames) || typeNames[t] == "" {
		return "unknown"
	}
	return typeNames[t]
}
