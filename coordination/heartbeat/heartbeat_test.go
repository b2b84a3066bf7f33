package heartbeat_test

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"amaranthtide"
	"amaranthtide/coordination/heartbeat"
)

type sentReport struct {
	report amaranthtide.RouterReport
	base   uint64
	full   bool
}

// Guards against loads that are assigned to another server or boot when messages are
// lost, late or repeated while servers are added, removed and restarted, and against a
// receiver that does not learn the loads.
func TestLostMessagesDoNotCorruptLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var planner heartbeat.ReportPlanner
		var base heartbeat.Base
		var messages []sentReport
		loads := []amaranthtide.ServerLoad{{Server: "a", Boot: "0"}, {Server: "b", Boot: "0"}}
		sequence, incarnation, received := uint64(0), amaranthtide.Incarnation(1), 0
		receive := func(t *rapid.T, m sentReport) bool {
			if m.full {
				base = base.With(m.report, m.base)
				return true
			}
			got, known, ok := base.Report(heartbeat.FromReport(m.report, m.base))
			if known && !reflect.DeepEqual(got, m.report) {
				t.Fatalf("got: %+v, want: %+v", got, m.report)
			}
			if ok && (got.VM != m.report.VM || got.Sequence != m.report.Sequence || got.View != m.report.View) {
				t.Fatalf("got: %+v, want: %+v", got, m.report)
			}
			return known
		}
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				sequence++
				report := amaranthtide.RouterReport{VM: "v", Incarnation: incarnation, Sequence: sequence, View: amaranthtide.ViewHash(sequence)}
				for _, l := range loads {
					l.InFlight = rapid.IntRange(0, 9).Draw(t, "inFlight")
					report.Loads = append(report.Loads, l)
				}
				number, full := planner.Next(report)
				m := sentReport{report, number, full}
				messages = append(messages, m)
				if rapid.Bool().Draw(t, "lost") {
					received = 0
					return
				}
				if known := receive(t, m); !known {
					if received > 0 {
						t.Fatalf("got: unknown loads after %d messages received in a row, want: known loads", received)
					}
					planner.SendFullNext()
				}
				received++
			},
			"late": func(t *rapid.T) {
				if len(messages) > 0 {
					receive(t, rapid.SampledFrom(messages).Draw(t, "message"))
				}
			},
			"change": func(t *rapid.T) {
				loads = []amaranthtide.ServerLoad{{Server: "a", Boot: "0"}}
				for i := range rapid.IntRange(0, 2).Draw(t, "servers") {
					boot := amaranthtide.BootID(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "boot")))
					loads = append(loads, amaranthtide.ServerLoad{Server: amaranthtide.BackendServerName([]string{"b", "c"}[i]), Boot: boot})
				}
			},
			"restart": func(*rapid.T) {
				planner, sequence, received = heartbeat.ReportPlanner{}, 0, 0
				incarnation++
			},
			"greet": func(*rapid.T) { planner.SendFullNext() },
		})
	})
}
