package where

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"amaranthtide"
)

// Print writes an explanation as text for people.
func Print(out io.Writer, e amaranthtide.Explanation) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printSummary(w, e)
	if len(e.Candidates) > 0 {
		row(w, "")
		printCandidates(w, e)
	}
	if len(e.Excluded) > 0 {
		row(w, "")
		row(w, "not a candidate", "zone", "version", "reason")
		for _, s := range e.Excluded {
			reason := string(s.Reason)
			if !s.Until.IsZero() {
				reason += untilText(s.Reason) + short(amaranthtide.Duration(s.Until.Sub(e.At)))
			}
			row(w, string(s.Server), string(s.Zone), dash(string(s.Version)), reason)
		}
	}
	return w.Flush()
}

// untilText returns what ExcludedServer.Until means for the reason.
func untilText(reason amaranthtide.Exclusion) string {
	if reason == amaranthtide.ExclusionRate {
		return ", next in "
	}
	return ", ends in "
}

func printSummary(w io.Writer, e amaranthtide.Explanation) {
	row(w, "router", fmt.Sprintf("%s in zone %s, configuration %d", dash(string(e.VM)), dash(string(e.Zone)), e.Revision))
	if e.Service != "" {
		row(w, "request", fmt.Sprintf("%s: route %s, service %s, workspace %s, priority %d", e.Request, e.Route, e.Service, dash(string(e.Workspace)), e.Priority))
	}
	switch {
	case e.Refusal == nil:
		row(w, "goes to", string(e.Chosen))
	case e.Refusal.Waits > 0:
		row(w, "waits", fmt.Sprintf("%s for the end of a pause (%s)", short(e.Refusal.Waits), e.Refusal.Message))
	default:
		text := fmt.Sprintf("%s (%s)", e.Refusal.Kind, e.Refusal.Message)
		if e.Refusal.RetryAfter > 0 {
			text += ", return after " + short(e.Refusal.RetryAfter)
		}
		row(w, "refused", text)
	}
	if len(e.Draws) > 0 {
		row(w, "drawn at random", strings.Join(e.Draws, ", "))
	}
	if e.Service == "" {
		return
	}
	if a := e.Admission; a != nil {
		verdict := a.Verdict
		if a.Reason != "" {
			verdict += " (" + a.Reason + ")"
		}
		if a.Waits > 0 {
			verdict += " for up to " + short(a.Waits)
		}
		row(w, "admission", fmt.Sprintf("%s: load %.2f (%d slots, %d running, %d waiting), share %.2f", verdict, a.Load, a.Slots, a.Running, a.Waiting, a.Share))
	}
	if e.Stage != "" {
		row(w, "rollout", e.Stage)
	}
	if c := e.Cap; c != nil {
		row(w, "cap", fmt.Sprintf("load %.0f with the request = %g x mean %.2f + %g", c.MaxLoad, c.Multiple, c.Mean, c.Extra))
	}
	if e.LoadAge > 0 {
		row(w, "loads", "of other routers "+short(e.LoadAge)+" old")
	}
}

func printCandidates(w io.Writer, e amaranthtide.Explanation) {
	row(w, "candidate", "zone", "version", "chance", "load", "slots", "pace", "report", "first event", "pause", "notes")
	for _, c := range e.Candidates {
		report, first, pause := "-", "-", "-"
		if c.ReportAge != nil {
			report = short(*c.ReportAge)
		}
		if e.Engine {
			first, pause = short(c.FirstEvent), short(c.Pause)
		}
		row(w, string(c.Server), string(c.Zone), dash(string(c.Version)), fmt.Sprintf("%.0f%%", 100*c.Chance), fmt.Sprint(c.Load),
			known(c.Slots), known(int(c.Pace)), report, first, pause, notes(e, c))
	}
}

// notes returns what sets a candidate apart.
func notes(e amaranthtide.Explanation, c amaranthtide.ExplainedCandidate) string {
	var out []string
	for _, n := range []struct {
		applies bool
		text    string
	}{
		{c.Server == e.Chosen, "chosen"},
		{c.OverCap, "over the cap"},
		{e.Engine && !c.InTime, "late"},
		{c.Cold, "cold"},
		{c.Returning, "returns after a pause"},
		{!c.Admits, "takes no request now"},
		{c.Unreachable, "unreachable"},
		{c.Avoided && !c.Unreachable, "avoided"},
	} {
		if n.applies {
			out = append(out, n.text)
		}
	}
	return strings.Join(out, ", ")
}

func row(w io.Writer, cells ...string) {
	_, _ = fmt.Fprintln(w, strings.Join(cells, "\t")) // Flush returns the error
}

func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// known returns a number of which 0 means that it isn't known.
func known(n int) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprint(n)
}

// short returns a duration to the millisecond.
func short(d amaranthtide.Duration) string {
	return time.Duration(d).Round(time.Millisecond).String()
}
