package operator

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"amaranthtide"
	"amaranthtide/coordination/change"
	"amaranthtide/protocol/declaration"
	"amaranthtide/protocol/operation"
)

func registerTable(app *kingpin.Application) {
	c := app.Command("table", "Reads and changes the configuration table.")
	f := addCommonFlags(c)
	registerGet(c, f)
	registerSet(c, f)
	registerPlan(c, f)
	registerApply(c, f)
	registerExport(c, f)
	registerLog(c, f)
}

func registerGet(table *kingpin.CmdClause, f *commonFlags) {
	c := table.Command("get", "Prints rows.")
	kind := c.Arg("kind", "Kind of row.").Enum(kindNames()...)
	name := c.Arg("name", "Name of the row.").String()
	c.Action(f.action(func(ctx context.Context, c *client) error {
		rows, err := c.rows(ctx, amaranthtide.RowKind(*kind))
		if err != nil {
			return exitErrorOf(err)
		}
		if *name != "" {
			rows.Rows = slices.DeleteFunc(rows.Rows, func(r amaranthtide.Row) bool { return r.Key.Name != *name })
			if len(rows.Rows) == 0 {
				return failureError("row %s/%s does not exist", *kind, *name)
			}
		}
		if f.json {
			return f.printJSON(rows)
		}
		for _, r := range rows.Rows {
			f.printRow(r)
		}
		return nil
	}))
}

func kindNames() []string {
	var names []string
	for _, k := range amaranthtide.RowKinds() {
		names = append(names, string(k))
	}
	return names
}

func registerSet(table *kingpin.CmdClause, f *commonFlags) {
	c := table.Command("set", "Changes fields of a row, or adds or deletes a row.")
	kind := c.Arg("kind", "Kind of row.").Required().Enum(kindNames()...)
	name := c.Arg("name", "Name of the row.").Required().String()
	fields := c.Arg("field=value", "Fields to set; an empty value clears a field.").Strings()
	expect := c.Flag("expect", "Expected current revision of the row; default: the one in force; 0: the row must not exist.").Default("-1").Int64()
	remove := c.Flag("delete", "Delete the row.").Bool()
	wait := waitFlag(c)
	c.Action(f.action(func(ctx context.Context, c *client) error {
		key := amaranthtide.RowKey{Kind: amaranthtide.RowKind(*kind), Name: *name}
		if *remove == (len(*fields) > 0) {
			return usageError("specify either fields or --delete")
		}
		row, ok, err := c.row(ctx, key)
		if err != nil {
			return exitErrorOf(err)
		}
		edit := amaranthtide.Edit{Key: key, Expected: row.Revision}
		if *expect >= 0 {
			edit.Expected = amaranthtide.Revision(*expect)
		}
		if *remove {
			if !ok {
				return failureError("row %s does not exist", key)
			}
			return f.commit(ctx, c, []amaranthtide.Edit{edit}, *wait)
		}
		if edit.Value, err = withFields(row, *fields); err != nil {
			return err
		}
		return f.commit(ctx, c, []amaranthtide.Edit{edit}, *wait)
	}))
}

func withFields(row amaranthtide.Row, texts []string) (amaranthtide.RowValue, error) {
	value := row.Value
	if value == nil {
		var err error
		if value, err = declaration.EmptyRow(row.Key.Kind); err != nil {
			return nil, err
		}
	}
	var fields []declaration.Field
	for _, text := range texts {
		name, v, ok := strings.Cut(text, "=")
		if !ok {
			return nil, usageError("argument %q is not allowed; allowed: field=value", text)
		}
		fields = append(fields, declaration.Field{Name: name, Text: v})
	}
	value, errs := declaration.WithFields(value, fields)
	if len(errs) == 0 {
		errs = value.Check()
	}
	if len(errs) > 0 {
		var lines []string
		for _, e := range errs {
			lines = append(lines, fmt.Sprintf("row %s, field %s: value %q is not allowed; allowed: %s", row.Key, e.Field, e.Value, e.Allowed))
		}
		return nil, usageError("%s", strings.Join(lines, "\n"))
	}
	return value, nil
}

func waitFlag(c *kingpin.CmdClause) *time.Duration {
	return c.Flag("wait", "Time to wait until the change is in force everywhere.").Default("10s").Duration()
}

// commit sends one batch and prints its result.
func (f *commonFlags) commit(ctx context.Context, c *client, edits []amaranthtide.Edit, wait time.Duration) error {
	changed, err := c.change(ctx, edits, wait)
	if err != nil {
		return exitErrorOf(err)
	}
	if f.json {
		if err := f.printJSON(changed); err != nil {
			return err
		}
	} else {
		f.printChanged(changed)
	}
	if in := changed.Rollout; in != nil && !in.Everywhere {
		return failureError("accepted, but not in force everywhere after %v; see \"status\"", wait)
	}
	return nil
}

func registerPlan(table *kingpin.CmdClause, f *commonFlags) {
	c := table.Command("plan", "Shows what apply would change. Exits with status 2 if there are differences.")
	dir := c.Arg("directory", "Directory of the declaration.").Required().String()
	c.Action(f.action(func(ctx context.Context, c *client) error {
		differences, err := f.plan(ctx, c, *dir)
		if err != nil {
			return err
		}
		if f.json {
			if err := f.printJSON(differencesJSON(differences)); err != nil {
				return err
			}
		} else {
			f.printPlan(differences)
		}
		if len(differences) > 0 {
			return &exitError{status: statusChanges}
		}
		return nil
	}))
}

func (f *commonFlags) plan(ctx context.Context, c *client, dir string) ([]declaration.Difference, error) {
	set, err := declaration.Read(dir)
	if err != nil {
		return nil, usageError("%v", err)
	}
	rows, err := c.rows(ctx, "")
	if err != nil {
		return nil, exitErrorOf(err)
	}
	return set.Compare(rows.Rows), nil
}

func registerApply(table *kingpin.CmdClause, f *commonFlags) {
	c := table.Command("apply", "Changes the table to match the declaration.")
	dir := c.Arg("directory", "Directory of the declaration.").Required().String()
	wait := waitFlag(c)
	c.Action(f.action(func(ctx context.Context, c *client) error {
		differences, err := f.plan(ctx, c, *dir)
		if err != nil {
			return err
		}
		if !f.json {
			f.printPlan(differences)
		}
		done := 0
		for batch := range slices.Chunk(differences, change.MaxEdits) {
			var edits []amaranthtide.Edit
			for _, d := range batch {
				edits = append(edits, d.Edit())
			}
			last := done+len(batch) == len(differences)
			if err := f.commit(ctx, c, edits, batchWait(last, *wait)); err != nil {
				if done > 0 {
					err = failureError("%v\nThe first %d changes were accepted; run apply again for the rest.", err, done)
				}
				return err
			}
			done += len(batch)
		}
		return nil
	}))
}

// batchWait returns the wait time of a batch. Only the last batch is waited for: a
// router that has it in force has the earlier ones as well.
func batchWait(last bool, wait time.Duration) time.Duration {
	if !last {
		return 0
	}
	return wait
}

func registerExport(table *kingpin.CmdClause, f *commonFlags) {
	c := table.Command("export", "Writes the table in force as a declaration.")
	dir := c.Arg("directory", "Output directory; created if it does not exist.").Required().String()
	c.Action(f.action(func(ctx context.Context, c *client) error {
		rows, err := c.rows(ctx, "")
		if err != nil {
			return exitErrorOf(err)
		}
		if err := declaration.New(rows.Rows).Write(*dir); err != nil {
			return failureError("%v", err)
		}
		if f.json {
			return f.printJSON(map[string]any{"revision": rows.Revision, "rows": len(rows.Rows)})
		}
		f.printf("%d rows of revision %d written to %s\n", len(rows.Rows), rows.Revision, *dir)
		return nil
	}))
}

func registerLog(table *kingpin.CmdClause, f *commonFlags) {
	c := table.Command("log", "Shows changes of the table and orders to engines in chronological order.")
	row := c.Flag("row", "Only this row (kind/name) or kind.").String()
	operator := c.Flag("operator", "Only this operator, or for orders this VM.").String()
	since := c.Flag("since", "From this time (RFC 3339) or this long ago.").String()
	until := c.Flag("until", "Before this time (RFC 3339) or this long ago.").String()
	after := c.Flag("after", "Show the first changes after this revision instead of the latest ones.").Default("-1").Int64()
	before := c.Flag("before", "Show the latest changes before this revision.").Uint64()
	limit := c.Flag("limit", "Maximum number of changes.").Default("50").Int()
	c.Action(f.action(func(ctx context.Context, c *client) error {
		query := url.Values{"row": {*row}, "operator": {*operator}, "limit": {strconv.Itoa(*limit)}}
		for name, text := range map[string]string{"since": *since, "until": *until} {
			t, err := parseTime(time.Now(), text)
			if err != nil {
				return usageError("flag --%s: value %q is not allowed; allowed: a time such as 2026-01-31T12:00:00Z or a duration such as 2h", name, text)
			}
			query.Set(name, t)
		}
		if *after >= 0 {
			query.Set("after", strconv.FormatInt(*after, 10))
		}
		if *before > 0 {
			query.Set("before", strconv.FormatUint(*before, 10))
		}
		var log operation.AuditLog
		if err := c.get(ctx, "/api/log", query, &log); err != nil {
			return exitErrorOf(err)
		}
		if f.json {
			return f.printJSON(log)
		}
		f.printLog(log)
		return nil
	}))
}

func parseTime(now time.Time, text string) (string, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(-d).UTC().Format(time.RFC3339), nil
	}
	if text == "" {
		return "", nil
	}
	_, err := time.Parse(time.RFC3339, text)
	return text, err
}

// registerOutOfServiceCommand adds the command that takes a zone or VM out of service
// and returns it to service.
func registerOutOfServiceCommand(app *kingpin.Application, kind, help string) {
	c := app.Command(kind, help)
	f := addCommonFlags(c)
	for name, out := range map[string]bool{"out": true, "in": false} {
		verb := "Returns it to service."
		if out {
			verb = "Takes it out of service: it receives no new work, and running work continues."
		}
		sub := c.Command(name, verb)
		target := sub.Arg("name", "Name of the row.").Required().String()
		wait := waitFlag(sub)
		sub.Action(f.action(func(ctx context.Context, c *client) error {
			key := amaranthtide.RowKey{Kind: amaranthtide.RowKind(kind), Name: *target}
			row, ok, err := c.row(ctx, key)
			if err != nil {
				return exitErrorOf(err)
			}
			if !ok {
				return failureError("row %s does not exist", key)
			}
			value := withOutOfService(row.Value, out)
			if value == row.Value {
				f.printf("%s is already %s of service\n", key, map[bool]string{true: "out", false: "not out"}[out])
				return nil
			}
			return f.commit(ctx, c, []amaranthtide.Edit{{Key: key, Expected: row.Revision, Value: value}}, *wait)
		}))
	}
}

func withOutOfService(value amaranthtide.RowValue, out bool) amaranthtide.RowValue {
	switch v := value.(type) {
	case amaranthtide.Zone:
		v.OutOfService = out
		return v
	case amaranthtide.VM:
		v.OutOfService = out
		return v
	default:
		return value
	}
}

// exitErrorOf converts the error of a call to an exitError, unless it is one already.
func exitErrorOf(err error) error {
	var e *exitError
	if errors.As(err, &e) {
		return err
	}
	return failureError("%v", err)
}
