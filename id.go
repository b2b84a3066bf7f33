package amaranthtide

import (
	"crypto/rand"
	"encoding/hex"
)

// WorkspaceName names a workspace, the unit of weights and limits.
type WorkspaceName string

// ChatID identifies a chat inside its workspace.
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

// IdempotencyKey identifies a request that may not be repeated inside its
// workspace. The empty key marks a repeatable request.
type IdempotencyKey string

// RequestID identifies a caller's request over all its attempts.
type RequestID string

// AttemptID identifies one attempt to serve a request.
type AttemptID string

// BootID identifies one boot of a backend server. It changes on every restart.
type BootID string

// Incarnation orders the runs of the router process on one VM.
type Incarnation uint64

// Revision orders the changes of the configuration table. Zero is the empty table.
type Revision uint64

// RowVersion orders the writes of one row in the platform's table service. Zero
// means that the row does not exist.
type RowVersion uint64

// FencingNumber rises with each holder of a lease.
type FencingNumber uint64

// Token identifies one write to the platform's table service, so that a write
// whose answer was lost can be recognized when the row is read back.
type Token string

// ViewHash is a hash over a membership view. Equal views have equal hashes.
type ViewHash uint64

const idBytes = 12

// NewRequestID returns a random request identifier.
func NewRequestID() RequestID { return RequestID(randomHex()) }

// NewAttemptID returns a random attempt identifier.
func NewAttemptID() AttemptID { return AttemptID(randomHex()) }

// NewToken returns a random write token.
func NewToken() Token { return Token(randomHex()) }

// NewBootID returns a random boot identifier.
func NewBootID() BootID { return BootID(randomHex()) }

func randomHex() string {
	var b [idBytes]byte
	// crypto/rand.Read never fails: it ends the process if the system has no
	// source of randomness.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
