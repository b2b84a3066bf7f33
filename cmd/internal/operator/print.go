package operator

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"amaranthtide"
	"amaranthtide/protocol/declaration"
	"amaranthtide/protocol/operation"
)

func (f *commonFlags) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(f.out, format, args...)
}

func (f *commonFlags) printJSON(v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	f.printf("%s\n", data)
	return nil
}

func (f *commonFlags) printRow(r amaranthtide.Row) {
	f.printf("[%s] revision %d\n", r.Key, r.Revision)
	for _, field := range declaration.Fields(r.Value) {
		f.printf("%s = %s\n", field.Name, field.Text)
	}
}

func (f *commonFlags) printPlan(differences []declaration.Difference) {
	if len(differences) == 0 {
		f.printf("nothing to change\n")
		return
	}
	for _, d := range differences {
		f.printf("%s %s\n", differenceVerb(d), d.Key)
		f.printFields("  ", d)
	}
}

func (f *commonFlags) printFields(indent string, d declaration.Difference) {
	if d.After == nil {
		return
	}
	for _, c := range d.ChangedFields() {
		if d.Before == nil {
			f.printf("%s%s = %s\n", indent, c.Name, c.After)
			continue
		}
		f.printf("%s%s: %q -> %q\n", indent, c.Name, c.Before, c.After)
	}
}

func differenceVerb(d declaration.Difference) string {
	switch {
	case d.Before == nil:
		return "add"
	case d.After == nil:
		return "delete"
	}
	return "change"
}

type differenceJSON struct {
	Do       string                    `json:"do"`
	Key      amaranthtide.RowKey       `json:"key"`
	Expected amaranthtide.Revision     `json:"expected"`
	Fields   []declaration.FieldChange `json:"fields,omitempty"`
}

func differencesJSON(differences []declaration.Difference) []differenceJSON {
	out := []differenceJSON{}
	for _, d := range differences {
		out = append(out, differenceJSON{differenceVerb(d), d.Key, d.Expected, d.ChangedFields()})
	}
	return out
}

func (f *commonFlags) printChanged(changed operation.ChangeResponse) {
	for _, c := range changed.Changes {
		f.printf("revision %d: %s %s\n", c.Revision, changeVerb(c), c.Key)
	}
	in := changed.Rollout
	if in == nil {
		return
	}
	f.printf("in force at %d of %d routers\n", in.Updated, in.Routers)
	for _, z := range in.Zones {
		f.printf("  zone %s: %d of %d, by %s\n", z.Zone, z.Updated, z.Routers, z.Source)
	}
}

func (f *commonFlags) printLog(log operation.AuditLog) {
	if log.Before > 0 {
		f.printf("earlier changes: --before %d\n", log.Before)
	}
	orders := log.Orders
	for _, c := range log.Changes {
		for len(orders) > 0 && orders[0].Time.Before(c.Time) {
			f.printOrder(orders[0])
			orders = orders[1:]
		}
		f.printf("%s  %d  %s  %s %s\n", c.Time.Format(time.RFC3339), c.Revision, c.Operator, changeVerb(c), c.Key)
		f.printFields("    ", declaration.Difference{Key: c.Key, Before: c.Before, After: c.After})
	}
	for _, o := range orders {
		f.printOrder(o)
	}
	if log.After > 0 {
		f.printf("later changes: --after %d\n", log.After)
	}
}

func (f *commonFlags) printOrder(o operation.Order) {
	f.printf("%s  order  %s  %s: model %s, version %q, adapters [%s], role %q, lease %d: %s\n", o.Time.Format(time.RFC3339), o.VM,
		o.Server, o.Model, o.Version, strings.Join(o.Adapters, ", "), o.Role, o.Fencing, o.Outcome)
}

// conflictText describes a conflict: the wanted value, the value in force and
// the operator who set it.
func conflictText(c *operation.Conflict) string {
	var b strings.Builder
	wanted := "deleted"
	if len(c.Wanted) > 0 && string(c.Wanted) != "null" {
		wanted = string(c.Wanted)
	}
	fmt.Fprintf(&b, "\n  wanted:   %s", wanted)
	if c.Current == nil {
		b.WriteString("\n  in force: the row does not exist")
		return b.String()
	}
	value, err := amaranthtide.EncodeRowValue(c.Current.Value)
	if err != nil {
		return b.String()
	}
	fmt.Fprintf(&b, "\n  in force: %s", value)
	if c.Change != nil {
		fmt.Fprintf(&b, "\n  made by %s at %s, revision %d", c.Change.Operator, c.Change.Time.Format(time.RFC3339), c.Change.Revision)
	}
	return b.String()
}
