// Package operation defines the JSON forms of the calls that operators make to a
// router's console address. The router's handler and the command line tool share them.
//
//	GET  /api/rows[?kind=K]          Rows
//	GET  /api/rows/{kind}/{name}     Rows with one row
//	POST /api/changes[?wait=10s]     Edits -> ChangeResponse, or ErrorResponse
//	GET  /api/log?...                AuditLog
//	GET  /api/status                 Status
//
// The body of an error response is an ErrorResponse, which extends the form of package
// reply.
package operation

import (
	"encoding/json"
	"time"

	"amaranthtide"
	"amaranthtide/protocol/reply"
)

// Rows are rows of the configuration table at the revision that is in force at the
// answering router.
type Rows struct {
	Revision amaranthtide.Revision `json:"revision"`
	Rows     []amaranthtide.Row    `json:"rows"`
}

// Edit is the JSON form of amaranthtide.Edit.
type Edit struct {
	Key      amaranthtide.RowKey   `json:"key"`
	Expected amaranthtide.Revision `json:"expected"`
	// Value is the new value of the row; absent or null deletes the row.
	Value json.RawMessage `json:"value,omitempty"`
}

// Edits are a batch of edits that is accepted or rejected as a whole.
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

// ToDomain returns the edits as types of package amaranthtide. It fails with
// KindBadRequest if a value can't be decoded.
func (e Edits) ToDomain() ([]amaranthtide.Edit, error) {
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

// ChangeResponse is the response to an accepted batch.
type ChangeResponse struct {
	Changes []amaranthtide.Change `json:"changes"`
	// Rollout is set if the request asked to wait until the changes are in force.
	Rollout *Rollout `json:"inForce,omitempty"`
}

// Rollout counts the routers at which a revision is in force.
type Rollout struct {
	Revision amaranthtide.Revision `json:"revision"`
	// Everywhere means that the revision is in force at all routers. Only live routers
	// count, except in a zone from which nothing is received: there all routers of the
	// table count.
	Everywhere bool          `json:"everywhere"`
	Updated    int           `json:"have"`
	Routers    int           `json:"routers"`
	Zones      []ZoneRollout `json:"zones"`
}

// ZoneRollout counts the routers of a zone at which a revision is in force.
type ZoneRollout struct {
	Zone amaranthtide.ZoneName `json:"zone"`
	// Source identifies the origin of the counts.
	Source  Source `json:"source"`
	Updated int    `json:"have"`
	Routers int    `json:"routers"`
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	reply.Body
	// Fields are the invalid fields of the rows in a batch.
	Fields []RowErrors `json:"fields,omitempty"`
	// Conflict is set for errors of kind conflict.
	Conflict *Conflict `json:"conflict,omitempty"`
}

// RowErrors are the invalid fields of a row.
type RowErrors struct {
	Key    amaranthtide.RowKey       `json:"key"`
	Fields []amaranthtide.FieldError `json:"fields"`
}

// Conflict is a row that did not have the revision that the operator expected.
type Conflict struct {
	Key amaranthtide.RowKey `json:"key"`
	// Wanted is the requested value of the row; absent for a deletion.
	Wanted json.RawMessage `json:"wanted,omitempty"`
	// Current is the row in the table; absent if it does not exist.
	Current *amaranthtide.Row `json:"row,omitempty"`
	// Change is the last change of the row, if it is known.
	Change *amaranthtide.Change `json:"change,omitempty"`
}

// AuditLog is a page of the audit log, in ascending order of revisions and times.
type AuditLog struct {
	Changes []amaranthtide.Change `json:"changes"`
	Orders  []Order               `json:"orders,omitempty"`
	// Before is set if the page may not include all older entries; it is the query
	// parameter "before" of the call that returns them. After is the same for newer
	// entries and the parameter "after".
	Before amaranthtide.Revision `json:"before,omitempty"`
	After  amaranthtide.Revision `json:"after,omitempty"`
}

// Order is an entry of the audit log about an order to a model engine.
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
	// Outcome is "sent" until the engine has responded, then "done" or the reason why the
	// order was not carried out.
	Outcome string `json:"outcome"`
}
