// Package operation holds the JSON forms of the calls that operators make to a
// router's console address. The router's handler and the command line share them.
//
//	GET  /api/rows[?kind=K]          Rows
//	GET  /api/rows/{kind}/{name}     Rows with one row
//	POST /api/changes[?wait=10s]     Edits -> Changed, or Refusal
//	GET  /api/log?...                Log
//	GET  /api/status                 Status
//
// Errors are Refusal, which extends the form of package reply.
package operation

import (
	"encoding/json"
	"time"

	"amaranthtide"
	"amaranthtide/protocol/reply"
)

// Rows are rows of the table in force at a router.
type Rows struct {
	Revision amaranthtide.Revision `json:"revision"`
	Rows     []amaranthtide.Row    `json:"rows"`
}

// Edit is the JSON form of amaranthtide.Edit.
type Edit struct {
	Key      amaranthtide.RowKey   `json:"key"`
	Expected amaranthtide.Revision `json:"expected"`
	// Value is the wanted content; absent or null deletes the row.
	Value json.RawMessage `json:"value,omitempty"`
}

// Edits are a batch that is accepted as a whole or not at all.
type Edits struct {
	Edits []Edit `json:"edits"`
}

// FromEdits returns the JSON form of edits.
func FromEdits(edits []amaranthtide.Edit) (Edits, error) {
	var out Edits
	for _, e := range edits {
		j := Edit{Key: e.Key, Expected: e.Expected}
		if e.Value != nil {
			value, err := amaranthtide.EncodeRowValue(e.Value)
			if err != nil {
				return Edits{}, err
			}
			j.Value = value
		}
		out.Edits = append(out.Edits, j)
	}
	return out, nil
}

// Root returns the edits. It fails with KindBadRequest if a value can't be read.
func (e Edits) Root() ([]amaranthtide.Edit, error) {
	edits := make([]amaranthtide.Edit, len(e.Edits))
	for i, j := range e.Edits {
		edits[i] = amaranthtide.Edit{Key: j.Key, Expected: j.Expected}
		if len(j.Value) == 0 || string(j.Value) == "null" {
			continue
		}
		value, err := amaranthtide.DecodeRowValue(j.Key.Kind, j.Value)
		if err != nil {
			return nil, amaranthtide.Errorf(amaranthtide.KindBadRequest, "row %s: %w", j.Key, err)
		}
		edits[i].Value = value
	}
	return edits, nil
}

// Changed is the answer to an accepted batch.
type Changed struct {
	Changes []amaranthtide.Change `json:"changes"`
	// InForce is set if the caller asked to wait.
	InForce *InForce `json:"inForce,omitempty"`
}

// InForce tells which routers have a revision.
type InForce struct {
	Revision amaranthtide.Revision `json:"revision"`
	// Everywhere tells whether all routers that count have it: the live ones of each
	// zone, and those in the table of a zone that is not heard of.
	Everywhere bool          `json:"everywhere"`
	Have       int           `json:"have"`
	Routers    int           `json:"routers"`
	Zones      []ZoneInForce `json:"zones"`
}

// ZoneInForce tells how many routers of a zone have a revision.
type ZoneInForce struct {
	Zone amaranthtide.ZoneName `json:"zone"`
	// Source is where the numbers come from.
	Source  Source `json:"source"`
	Have    int    `json:"have"`
	Routers int    `json:"routers"`
}

// Refusal is an error of a call.
type Refusal struct {
	reply.Body
	// Fields are the fields that hold values which are not allowed.
	Fields []RowFields `json:"fields,omitempty"`
	// Conflict is set for the kind conflict.
	Conflict *Conflict `json:"conflict,omitempty"`
}

// RowFields are the bad fields of one row.
type RowFields struct {
	Key    amaranthtide.RowKey       `json:"key"`
	Fields []amaranthtide.FieldError `json:"fields"`
}

// Conflict tells which row was not as the operator expected.
type Conflict struct {
	Key amaranthtide.RowKey `json:"key"`
	// Wanted is the row that the operator asked for; absent for a deletion.
	Wanted json.RawMessage `json:"wanted,omitempty"`
	// Row is the row as it stands; absent if it does not exist.
	Row *amaranthtide.Row `json:"row,omitempty"`
	// Change is the change that made the row what it is, if it is known.
	Change *amaranthtide.Change `json:"change,omitempty"`
}

// Log is a part of the audit trail, in rising order of revisions and times.
type Log struct {
	Changes []amaranthtide.Change `json:"changes"`
	Orders  []Order               `json:"orders,omitempty"`
	// Before is set if older entries were not looked at: they are found with the
	// query parameter "before". After is the same for later ones and "after".
	Before amaranthtide.Revision `json:"before,omitempty"`
	After  amaranthtide.Revision `json:"after,omitempty"`
}

// Order is an order to an engine in the audit trail.
type Order struct {
	Time     time.Time                      `json:"time"`
	Zone     amaranthtide.ZoneName          `json:"zone"`
	VM       amaranthtide.VMName            `json:"vm"`
	Server   amaranthtide.BackendServerName `json:"server"`
	Fencing  amaranthtide.FencingNumber     `json:"fencing"`
	Model    amaranthtide.ModelName         `json:"model,omitempty"`
	Version  string                         `json:"version,omitempty"`
	Adapters []string                       `json:"adapters,omitempty"`
	Role     string                         `json:"role,omitempty"`
	Deadline time.Time                      `json:"deadline"`
	// Outcome is "sent" until the engine has answered, then "done" or why not.
	Outcome string `json:"outcome"`
}
