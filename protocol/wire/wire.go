// Package wire defines the JSON forms and header names of calls between routers and
// external systems: the platform and model engines. The types of package amaranthtide
// have no encoding, so that the decisions that use them do not depend on one.
//
// # Usage
//
//	body, err := json.Marshal(wire.FromTransaction(t))
//	...
//	var got wire.Transaction
//	err = json.Unmarshal(body, &got)
//	t := got.ToDomain()
package wire

import (
	"net/netip"
	"time"

	"amaranthtide"
)

// Names of HTTP headers, in canonical form.
const (
	// HeaderAttempt carries the attempt identifier; an engine echoes it in each response, a
	// refusal included. On a connection that has carried another request, a refusal without it
	// proves nothing.
	HeaderAttempt = "Amaranthtide-Attempt"
	// HeaderNotRun is "true" in a refusal of a request that was not and will not be run.
	HeaderNotRun = "Amaranthtide-Not-Run"
	// HeaderReason is the error kind of such a refusal, such as "leaving", "full" or
	// "unknownModel".
	HeaderReason = "Amaranthtide-Reason"
	// HeaderLeaving is "1" in the responses of a backend server that leaves. A refusal with
	// status 503 and HeaderNotRun may carry Retry-After, the pause that the server asks for.
	HeaderLeaving = "Amaranthtide-Leaving"
	// HeaderLimit is the number of requests a second, with or without a fraction, that a backend server takes.
	// It holds until a response to a later request comes without it.
	HeaderLimit = "Amaranthtide-Limit"
	// HeaderResumable is "true" in the response head of a stream that can be resumed.
	HeaderResumable = "Amaranthtide-Resumable"
	// HeaderPriority is an integer; requests with a greater one run first. The default
	// is 0.
	HeaderPriority = "Amaranthtide-Priority"
	// HeaderLastEventID is the identifier of the last event that the client has received.
	HeaderLastEventID = "Last-Event-Id"
)

// Transaction is the request body of a commit call.
type Transaction struct {
	Token      amaranthtide.WriteToken `json:"token"`
	Conditions []Condition             `json:"conditions,omitempty"`
	Writes     []Write                 `json:"writes"`
}

// Condition requires a row to have the given version.
type Condition struct {
	Key     amaranthtide.StoredKey  `json:"key"`
	Version amaranthtide.RowVersion `json:"version"`
}

// Write is the new value of a row. A null value deletes the row.
type Write struct {
	Key   amaranthtide.StoredKey `json:"key"`
	Value []byte                 `json:"value"`
}

// CommitResponse is the response to a commit call: the new versions of the written rows,
// in the order of the writes.
type CommitResponse struct {
	Versions []amaranthtide.RowVersion `json:"versions"`
}

// Row is a row of the platform's table service. Token is that of the transaction that
// wrote the row last.
type Row struct {
	Key     amaranthtide.StoredKey  `json:"key"`
	Version amaranthtide.RowVersion `json:"version"`
	Token   amaranthtide.WriteToken `json:"token"`
	Value   []byte                  `json:"value"`
}

// Rows is the response to a list call.
type Rows struct {
	Rows []Row `json:"rows"`
}

// VM is an entry of the platform's list of VMs.
type VM struct {
	Name    amaranthtide.VMName   `json:"name"`
	Zone    amaranthtide.ZoneName `json:"zone"`
	Address netip.AddrPort        `json:"address"`
	Leaving bool                  `json:"leaving,omitempty"`
}

// VMs is the response with the platform's list of VMs.
type VMs struct {
	VMs []VM `json:"vms"`
}

// Reservation is the response of the platform's store of model weights: the time to wait
// before an engine may start to load weights.
type Reservation struct {
	Wait amaranthtide.Duration `json:"wait"`
}

// EngineReport is the load that a model engine reports about itself.
type EngineReport struct {
	Boot     amaranthtide.BootID   `json:"boot"`
	InFlight int                   `json:"inFlight"`
	Capacity int                   `json:"capacity"`
	Uptime   amaranthtide.Duration `json:"uptime"`
	Leaving  bool                  `json:"leaving,omitempty"`
}

// Order tells a model engine which model, version, adapters and role it must have.
type Order struct {
	Server   amaranthtide.BackendServerName `json:"server"`
	Fencing  amaranthtide.FencingNumber     `json:"fencing"`
	Model    amaranthtide.ModelName         `json:"model,omitempty"`
	Version  string                         `json:"version,omitempty"`
	Adapters []string                       `json:"adapters,omitempty"`
	Role     string                         `json:"role,omitempty"`
	Deadline time.Time                      `json:"deadline,omitzero"`
}

// FromTransaction returns the JSON form of t.
func FromTransaction(t amaranthtide.Transaction) Transaction {
	out := Transaction{Token: t.Token, Writes: make([]Write, len(t.Writes))}
	for _, c := range t.Conditions {
		out.Conditions = append(out.Conditions, Condition(c))
	}
	for i, w := range t.Writes {
		out.Writes[i] = Write(w)
	}
	return out
}

// ToDomain returns t as a type of package amaranthtide.
func (t Transaction) ToDomain() amaranthtide.Transaction {
	out := amaranthtide.Transaction{Token: t.Token, Writes: make([]amaranthtide.Write, len(t.Writes))}
	for _, c := range t.Conditions {
		out.Conditions = append(out.Conditions, amaranthtide.Condition(c))
	}
	for i, w := range t.Writes {
		out.Writes[i] = amaranthtide.Write(w)
	}
	return out
}

// FromEngineReport returns the JSON form of r.
func FromEngineReport(r amaranthtide.EngineReport) EngineReport {
	return EngineReport{r.Boot, r.InFlight, r.Capacity, amaranthtide.Duration(r.Uptime), r.Leaving}
}

// ToDomain returns r as a type of package amaranthtide.
func (r EngineReport) ToDomain() amaranthtide.EngineReport {
	return amaranthtide.EngineReport{
		Boot: r.Boot, InFlight: r.InFlight, Capacity: r.Capacity, Uptime: time.Duration(r.Uptime), Leaving: r.Leaving,
	}
}
