// Package metrics records a router's metrics with OpenTelemetry and serves them in the
// Prometheus text format.
//
// # Usage
//
//	m, err := metrics.New()
//	if err != nil {
//		return err
//	}
//	defer m.Close(ctx)
//	m.RecordRequest(req, took, err)
//	http.Handle("/metrics", m.Handler())
package metrics

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"amaranthtide"
)

// latencyBounds are the histogram buckets of durations, in seconds. The target of
// 1.3 s for the first token is one of the bounds, with buckets on either side.
var latencyBounds = []float64{0.001, 0.005, 0.02, 0.08, 0.3, 0.6, 1.3, 2.6, 5, 10, 30, 60}

// requestsSeries is the Prometheus name of the counter of requests.
const requestsSeries = "amaranthtide_requests_total"

// Meter holds the metric instruments of one router. It is safe for concurrent use.
type Meter struct {
	provider   *sdk.MeterProvider
	registry   *prometheus.Registry
	requests   metric.Int64Counter
	durations  metric.Float64Histogram
	firstChunk metric.Float64Histogram
	attempts   metric.Int64Counter
	feedCalls  metric.Int64Counter
	versions   metric.Float64Histogram
	meter      metric.Meter
}

// New returns a Meter with its own registry.
func New() (*Meter, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, err
	}
	m := &Meter{
		provider: sdk.NewMeterProvider(sdk.WithReader(exporter)),
		registry: registry,
	}
	m.meter = m.provider.Meter("amaranthtide")
	return m, m.createInstruments()
}

func (m *Meter) createInstruments() error {
	var err error
	if m.requests, err = m.meter.Int64Counter("amaranthtide.requests",
		metric.WithDescription("Requests of callers, by result (ok or error kind) and whether they ran.")); err != nil {
		return err
	}
	if m.durations, err = m.meter.Float64Histogram("amaranthtide.request.duration", metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(latencyBounds...),
		metric.WithDescription("Time from a caller's request to the end of its answer.")); err != nil {
		return err
	}
	if m.firstChunk, err = m.meter.Float64Histogram("amaranthtide.request.first_chunk", metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(latencyBounds...),
		metric.WithDescription("Time from a caller's request to the first bytes of its answer.")); err != nil {
		return err
	}
	if m.attempts, err = m.meter.Int64Counter("amaranthtide.attempts",
		metric.WithDescription("Attempts sent to backend servers, by result.")); err != nil {
		return err
	}
	if m.feedCalls, err = m.meter.Int64Counter("amaranthtide.feed.calls",
		metric.WithDescription("Calls to the platform's feed, by table and result.")); err != nil {
		return err
	}
	m.versions, err = m.meter.Float64Histogram("amaranthtide.version.duration", metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(latencyBounds...),
		metric.WithDescription("Time to the first event of a stream or to the end of another answer, by the version of the server and the result."))
	return err
}

// RecordRequest records a finished request of a caller.
func (m *Meter) RecordRequest(req *amaranthtide.Request, elapsed time.Duration, err error) {
	set := attribute.NewSet(
		attribute.String("result", resultLabel(err)),
		attribute.String("target", targetLabel(req)),
	)
	m.requests.Add(context.Background(), 1, metric.WithAttributeSet(set))
	m.durations.Record(context.Background(), elapsed.Seconds(), metric.WithAttributeSet(set))
}

// RecordFirstChunk records the time to the first bytes of an answer.
func (m *Meter) RecordFirstChunk(req *amaranthtide.Request, elapsed time.Duration) {
	m.firstChunk.Record(context.Background(), elapsed.Seconds(), metric.WithAttributes(attribute.String("target", targetLabel(req))))
}

// RecordAttempt records a finished attempt at a backend server.
func (m *Meter) RecordAttempt(req *amaranthtide.Request, err error) {
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("result", resultLabel(err)), attribute.String("target", targetLabel(req))))
}

// RecordFeedCall records a finished call to the platform's feed.
func (m *Meter) RecordFeedCall(table amaranthtide.FeedTable, err error) {
	m.feedCalls.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("result", resultLabel(err)), attribute.String("table", string(table))))
}

// RecordVersion records the outcome of an attempt at a server of a version.
func (m *Meter) RecordVersion(in amaranthtide.Instance, elapsed time.Duration, failed bool) {
	result := "ok"
	if failed {
		result = "failed"
	}
	m.versions.Record(context.Background(), elapsed.Seconds(), metric.WithAttributes(
		attribute.String("service", string(in.Service)), attribute.String("version", string(in.Version)), attribute.String("result", result)))
}

// LabeledGauge registers a gauge with one label. read returns the values by label value.
// Each of them becomes a time series, so there should be few.
func (m *Meter) LabeledGauge(name, description, labelKey string, read func() map[string]float64) error {
	_, err := m.meter.Float64ObservableGauge(name, metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for label, value := range read() {
				o.Observe(value, metric.WithAttributes(attribute.String(labelKey, label)))
			}
			return nil
		}))
	return err
}

// LabeledCounter registers a monotonic counter with one label, like LabeledGauge.
func (m *Meter) LabeledCounter(name, description, labelKey string, read func() map[string]float64) error {
	_, err := m.meter.Float64ObservableCounter(name, metric.WithDescription(description),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for label, value := range read() {
				o.Observe(value, metric.WithAttributes(attribute.String(labelKey, label)))
			}
			return nil
		}))
	return err
}

// Gauge registers a gauge that is read when metrics are collected.
func (m *Meter) Gauge(name, description string, read func() int64) error {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	return err
}

// Counter registers a monotonic counter that is read when metrics are collected.
func (m *Meter) Counter(name, description string, read func() int64) error {
	_, err := m.meter.Int64ObservableCounter(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	return err
}

// Handler returns the HTTP handler that serves the metrics in the Prometheus text
// format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Results returns the number of finished requests by result, which is "ok" or an error
// kind.
func (m *Meter) Results() (map[string]uint64, error) {
	families, err := m.registry.Gather()
	if err != nil {
		return nil, err
	}
	results := make(map[string]uint64)
	for _, f := range families {
		if f.GetName() != requestsSeries {
			continue
		}
		for _, series := range f.GetMetric() {
			for _, l := range series.GetLabel() {
				if l.GetName() == "result" {
					results[l.GetValue()] += uint64(series.GetCounter().GetValue())
				}
			}
		}
	}
	return results, nil
}

// Close flushes the metrics and shuts the meter provider down.
func (m *Meter) Close(ctx context.Context) error { return m.provider.Shutdown(ctx) }

func resultLabel(err error) string {
	if err == nil {
		return "ok"
	}
	return amaranthtide.KindOf(err).String()
}

// targetLabel returns the service, model or table route of the request. A label per
// workspace would create 19,000 time series, and a label per declared route thousands.
func targetLabel(req *amaranthtide.Request) string {
	if req.Service != "" {
		return string(req.Service)
	}
	if req.Model != "" {
		return string(req.Model)
	}
	return string(req.Route)
}
