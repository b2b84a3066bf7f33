package amaranthtide

import (
	"crypto/rand"
	"encoding/hex"
)

// WorkspaceName names a workspace. Weights and limits apply to whole workspaces.
type WorkspaceName string

// ChatID identifies a chat within its workspace.
type ChatID string

// BackendServerName names a model engine or a plain service instance.
type BackendServerName string

// GroupName names a group of backend servers that have one owner: engines of one
// model in one zone, or a single server of a plain service.
type GroupName string

// ZoneName names an availability zone.
type ZoneName string

// VMName names a virtual machine that runs a router.
type VMName string

// ModelName names a model that engines serve.
type ModelName string

// RouteName names a plain service as callers address it.
type RouteName string

// OperatorName names the operator who made a change.
type OperatorName string

// IdempotencyKey identifies a request that may run at most once within its
// workspace. A repeatable request has an empty key.
type IdempotencyKey string

// PromptPart identifies a part of a prompt, such as a system prompt or the history of a
// chat. Requests that share the part have the same identifier.
type PromptPart string

// PromptHash is a hash over all parts of a prompt. A request that the caller sends again has
// the hash of the first one.
type PromptHash uint64

// RequestID identifies a caller's request across all its attempts.
type RequestID string

// AttemptID identifies one attempt to serve a request.
type AttemptID string

// BootID identifies one boot of a backend server. It changes on every restart.
type BootID string

// Incarnation orders the runs of the router process on one VM. A later run has a
// higher number.
type Incarnation uint64

// Revision orders the changes of the configuration table. The empty table has
// revision 0.
type Revision uint64

// RowVersion orders the writes of one row in the platform's table service. Zero
// means that the row does not exist.
type RowVersion uint64

// FencingNumber increases with each new holder of a lease.
type FencingNumber uint64

// WriteToken identifies one write to the platform's table service. If the answer to a
// write is lost, the token in the row tells whether the write took effect.
type WriteToken string

// ViewHash is a hash over a membership view. Equal views have equal hashes.
type ViewHash uint64

const idBytes = 12

// NewRequestID returns a random request identifier.
func NewRequestID() RequestID { return RequestID(randomHex()) }

// NewAttemptID returns a random attempt identifier.
func NewAttemptID() AttemptID { return AttemptID(randomHex()) }

// NewWriteToken returns a random write token.
func NewWriteToken() WriteToken { return WriteToken(randomHex()) }

// NewBootID returns a random boot identifier.
func NewBootID() BootID { return BootID(randomHex()) }

func randomHex() string {
	var b [idBytes]byte
	// The call never returns an error: it crashes the process if the system has no
	// source of randomness.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
