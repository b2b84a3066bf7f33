package amaranthtide

import "time"

// ServerCrash is the crash of a backend server that had not answered a request, or had just
// begun to.
type ServerCrash struct {
	Service ServiceName
	Server  BackendServerName
	At      time.Time
	// Waited is how long before the crash the request had been sent.
	Waited time.Duration
	// Prompt identifies the whole prompt of the request.
	Prompt PromptHash
	// Parts are what may have caused the crash: parts of the prompt, and the request as a whole,
	// which has a name of its own (package quarantine).
	Parts []PromptPart
	// Begun is set if the server had begun the answer. Such a request is a more likely cause
	// than one that the server had not begun to answer.
	Begun bool
}

// PartAnswer is the time at which a server began the newest known answer to a request with
// the part in its prompt.
type PartAnswer struct {
	Service ServiceName
	Part    PromptPart
	At      time.Time
}

// Quarantine tells that requests with the part in their prompts, or one whole request, crash the
// servers of the service, and are not sent to any.
type Quarantine struct {
	Service ServiceName
	Part    PromptPart
	// Companions are the parts that may be the cause instead, since they were in the same
	// prompts and no server is known to have answered them. Only requests with all of them are
	// rejected.
	Companions []PromptPart
	// LastCrash is when a server last crashed with the part.
	LastCrash time.Time
	// Level is 1 for the first quarantine of the part, and one more for each that followed
	// because servers still crashed after the one before.
	Level int
}

// CrashEvidence is what a router knows about requests that crash servers.
type CrashEvidence struct {
	Crashes     []ServerCrash
	Answers     []PartAnswer
	Quarantines []Quarantine
}

// EvidenceHash is a hash over CrashEvidence, without its times. Routers with equal hashes
// have the same evidence.
type EvidenceHash uint64
