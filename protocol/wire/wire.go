// Package wire holds the JSON forms and header names of the calls between routers
// and outside systems: the platform and the model engines. Root types carry no
// encoding, so that the decisions that use them stay apart from it.
//
// # Usage
//
//	body, err := json.Marshal(wire.FromTransaction(t))
//	...
//	var got wire.Transaction
//	err = json.Unmarshal(body, &got)
//	t := got.Root()
package wire

import (
	"net/netip"
	"time"

	"amaranthtide"
)

// Names of HTTP headers, in canonical form.
const (
	// HeaderAttempt carries the attempt identifier; an engine's answer repeats it.
	HeaderAttempt = "Amaranthtide-Attempt"
	// HeaderNotRun is "true" in a refusal whose request was not and will not be run.
	HeaderNotRun = "Amaranthtide-Not-Run"
	// HeaderReason is the name of the error kind in such a refusal: "leaving" or "full".
	HeaderReason = "Amaranthtide-Reason"
	// HeaderResumable is "true" in the head of a stream that can be resumed.
	HeaderResumable = "Amaranthtide-Resumable"
	// HeaderPriority is a whole number; greater runs first. Absent is 0.
	HeaderPriority = "Amaranthtide-Priority"
	// HeaderLastEventID names the last event that the reader has got.
	HeaderLastEventID = "Last-Event-Id"
)

// Transaction is the body of a commit.
type Transaction struct {
	Token      amaranthtide.WriteToken `json:"token"`
	Conditions []Condition             `json:"conditions,omitempty"`
	Writes     []Write                 `json:"writes"`
}

// Condition is a condition of a commit.
type Condition struct {
	Key     amaranthtide.StoredKey  `json:"key"`
	Version amaranthtide.RowVersion `json:"version"`
}

// Write is a write of a commit. A null value deletes the row.
type Write struct {
	Key   amaranthtide.StoredKey `json:"key"`
	Value []byte                 `json:"value"`
}

// Committed is the answer to a commit.
type Committed struct {
	Versions []amaranthtide.RowVersion `json:"versions"`
}

// Row is a row of the table service.
type Row struct {
	Key     amaranthtide.StoredKey  `json:"key"`
	Version amaranthtide.RowVersion `json:"version"`
	Token   amaranthtide.WriteToken `json:"token"`
	Value   []byte                  `json:"value"`
}

// Rows is the answer to a list call.
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

// VMs is the platform's list of VMs.
type VMs struct {
	VMs []VM `json:"vms"`
}

// Reservation is the answer of the weight store.
type Reservation struct {
	Wait amaranthtide.Duration `json:"wait"`
}

// EngineReport is an engine's load report.
type EngineReport struct {
	Boot     amaranthtide.BootID   `json:"boot"`
	InFlight int                   `json:"inFlight"`
	Capacity int                   `json:"capacity"`
	Uptime   amaranthtide.Duration `json:"uptime"`
	Leaving  bool                  `json:"leaving,omitempty"`
}

// Order is an order to an engine.
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

// Root returns the root type of t.
func (t Transaction) Root() amaranthtide.Transaction {
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

// Root returns the root type of r.
func (r EngineReport) Root() amaranthtide.EngineReport {
	return amaranthtide.EngineReport{
		Boot: r.Boot, InFlight: r.InFlight, Capacity: r.Capacity, Uptime: time.Duration(r.Uptime), Leaving: r.Leaving,
	}
}
