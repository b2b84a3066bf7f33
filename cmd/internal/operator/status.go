package operator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"amaranthtide"
	"amaranthtide/protocol/operation"
)

func registerStatus(app *kingpin.Application) {
	c := app.Command("status", "Shows the state of the fleet. Exits with status 1 if there are problems.")
	f := addCommonFlags(c)
	watch := c.Flag("watch", "Repeat until interrupted.").Bool()
	interval := c.Flag("interval", "Time between updates with --watch.").Default("2s").Duration()
	c.Action(f.action(func(ctx context.Context, c *client) error {
		for {
			err := f.showStatus(ctx, c)
			if !*watch {
				return err
			}
			if ctx.Err() != nil {
				return nil
			}
			if err != nil && err.Error() != "" {
				f.printf("%v\n", err)
			}
			timer := time.NewTimer(*interval)
			select {
			case <-ctx.Done():
				timer.Stop()
				return nil
			case <-timer.C:
			}
			if !f.json {
				f.printf("\n")
			}
		}
	}))
}

func (f *commonFlags) showStatus(ctx context.Context, c *client) error {
	var s operation.Status
	if err := c.get(ctx, "/api/status", nil, &s); err != nil {
		return exitErrorOf(err)
	}
	if f.json {
		if err := f.printJSON(s); err != nil {
			return err
		}
	} else {
		f.printStatus(s)
	}
	if len(s.Problems) > 0 {
		return &exitError{status: statusFailed}
	}
	return nil
}

func (f *commonFlags) printStatus(s operation.Status) {
	f.printf("%s  as seen by %s in zone %s, revision %d\n", s.Time.Format(time.RFC3339), s.VM, s.Zone, s.Revision)
	if len(s.Problems) == 0 {
		f.printf("well: no problems\n")
	} else {
		f.printf("NOT WELL: %d problems\n", len(s.Problems))
		for _, p := range s.Problems {
			f.printf("  %s %s: %s\n", p.Kind, p.Subject, p.Message)
		}
	}
	w := tabwriter.NewWriter(f.out, 0, 0, 2, ' ', 0)
	line := func(cells ...any) {
		texts := make([]string, len(cells))
		for i, c := range cells {
			texts[i] = fmt.Sprint(c)
		}
		_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
	}
	line("\nZONE", "SERVICE", "ROUTERS", "REVISION", "KNOWN BY", "AGE")
	for _, z := range s.Zones {
		line(z.Zone, serviceText(z.OutOfService), z.Routers, z.Revision, z.Source, time.Duration(z.Age))
	}
	_ = w.Flush()
	line("\nROUTER", "ZONE", "STATE", "REVISION", "KNOWN BY", "AGE")
	for _, r := range s.Routers {
		line(r.VM, r.Zone, routerState(r), r.Revision, r.Source, time.Duration(r.Age))
	}
	_ = w.Flush()
	line("\nSERVER", "ZONE", "SERVES", "LOAD", "LIMIT", "ALLOWANCE", "SKEW", "WAITING", "OWNER", "STATE", "KNOWN BY")
	for _, v := range s.Servers {
		line(v.Server, v.Zone, orDash(string(v.Model)+string(v.Route)), v.Load, orDashInt(v.Limit), allowanceText(v), fmt.Sprintf("%.2f", v.Skew),
			orDashPtr(v.Waiting), orDash(string(v.Owner)), serverState(v), v.Source)
	}
	_ = w.Flush()
	for _, o := range s.Orders {
		f.printf("\norders of zone %s: lease %d of %s, %d engines pending\n", o.Zone, o.Fencing, o.VM, len(o.Pending))
		for _, p := range o.Pending {
			f.printf("  %s since %s: %s\n", p.Server, p.Since.Format(time.RFC3339), p.Reason)
		}
	}
	f.printResults(s.Results)
	f.printf("\n%s\n", s.Explanation)
}

func (f *commonFlags) printResults(results map[string]uint64) {
	var parts []string
	for kind, n := range results {
		parts = append(parts, fmt.Sprintf("%s %d", kind, n))
	}
	slices.Sort(parts)
	if len(parts) > 0 {
		f.printf("\nrequests: %s\n", strings.Join(parts, ", "))
	}
}

func serviceText(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

func routerState(r operation.RouterStatus) string {
	switch {
	case r.Source == operation.SourceNone:
		return "not heard of"
	case !r.Live && r.OutOfService:
		return "out of service"
	case !r.Live:
		return "missing"
	case r.Leaving:
		return "leaving"
	case r.OutOfService:
		return "live, out of service"
	}
	return "live"
}

func serverState(v operation.ServerStatus) string {
	var words []string
	add := func(is bool, word string) {
		if is {
			words = append(words, word)
		}
	}
	add(v.Source == operation.SourceNone, "not heard of")
	add(v.Down, "down")
	add(v.Leaving, "leaving")
	add(v.Cold, "cold")
	add(v.Settled != nil && !*v.Settled, "not settled")
	if len(words) == 0 {
		return "ok"
	}
	return strings.Join(words, ", ")
}

func allowanceText(v operation.ServerStatus) string {
	if v.Allowance == 0 {
		return fmt.Sprintf("-/%d", v.Capacity)
	}
	return fmt.Sprintf("%d/%d", v.Allowance, v.Capacity)
}

func orDashPtr(n *int) string {
	if n == nil {
		return "-"
	}
	return fmt.Sprint(*n)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func orDashInt(n int) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprint(n)
}

func changeVerb(c amaranthtide.Change) string {
	switch {
	case c.Before == nil:
		return "added"
	case c.After == nil:
		return "deleted"
	}
	return "changed"
}
