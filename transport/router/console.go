package router

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
)

// consoleHandler serves health checks and metrics.
func (r *Router) consoleHandler() http.Handler {
	mux := chi.NewRouter()
	mux.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Get("/readyz", r.serveReady)
	mux.Method(http.MethodGet, "/metrics", r.meter.Handler())
	return mux
}

// serveReady tells the platform's balancer whether to send callers here.
func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !r.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Ready reports whether the router has loaded the table, takes part in its zone
// and isn't shutting down.
func (r *Router) Ready() bool {
	if r.draining.Load() {
		return false
	}
	select {
	case <-r.spread.Loaded():
		return r.control.Awake(time.Now())
	default:
		return false
	}
}

func (r *Router) gauges() error {
	if err := r.meter.Gauge("amaranthtide.table.revision", "Revision of the table in force.",
		func() int64 { return int64(r.table.Revision()) }); err != nil {
		return err
	}
	return r.meter.Counter("amaranthtide.control.sent", "Bytes of control messages sent.",
		func() int64 { return int64(r.ControlBytes()) })
}
