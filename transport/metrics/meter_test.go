package metrics_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthtide"
	"amaranthtide/transport/metrics"
)

// Guards against metrics that are recorded but missing from the Prometheus output.
func TestMetricsAreServed(t *testing.T) {
	is := is.New(t)
	m, err := metrics.New()
	is.NoErr(err)
	defer func() { _ = m.Close(t.Context()) }()
	req := &amaranthtide.Request{Model: "chat"}
	m.RecordRequest(req, time.Second, nil)
	m.RecordRequest(req, time.Second, amaranthtide.Errorf(amaranthtide.KindFull, "full"))
	is.NoErr(m.Gauge("amaranthtide.table.revision", "Revision in force.", func() int64 { return 7 }))
	m.RecordFeedCall("listing", nil)
	m.RecordFeedCall("listing", amaranthtide.Errorf(amaranthtide.KindPlatformDown, "down"))
	is.NoErr(m.LabeledGauge("amaranthtide.retries.left", "Retries left.", "service", func() map[string]float64 { return map[string]float64{"app": 1.5} }))
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{
		`amaranthtide_requests_total{result="ok",target="chat"} 1`,
		`amaranthtide_requests_total{result="full",target="chat"} 1`,
		`amaranthtide_table_revision 7`,
		`amaranthtide_feed_calls_total{result="ok",table="listing"} 1`,
		`amaranthtide_feed_calls_total{result="platformDown",table="listing"} 1`,
		`amaranthtide_retries_left{service="app"} 1.5`,
	} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("got: %s, want: %s", w.Body, want)
		}
	}
}
