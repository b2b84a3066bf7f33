package router

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"amaranthtide"
	"amaranthtide/transport/console"
	"amaranthtide/transport/ingress"
	"amaranthtide/transport/orders"
)

// consoleHandler serves health checks and metrics without authentication, and all
// other paths to operators.
func (r *Router) consoleHandler() http.Handler {
	mux := chi.NewRouter()
	mux.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.Get("/readyz", r.serveReady)
	mux.Method(http.MethodGet, "/metrics", r.meter.Handler())
	mux.Mount("/", console.New(console.Options{
		VM:        r.cfg.Router.VM,
		Zone:      r.cfg.Router.Zone,
		Table:     r.table,
		Platform:  r.platform,
		Editor:    r.editor,
		Control:   r.control,
		Owner:     r.owner,
		Operators: r.cfg.Operators,
		Results:   r.meter.Results,
		Ready:     r.Ready,
		Logger:    r.opts.Logger.Named("console"),
	}))
	return mux
}

// newOrders returns the driver that sends orders to the engines of the zone. The
// name of the lease holder contains a boot ID: each run of the process is a separate
// holder.
func (r *Router) newOrders() *orders.Driver {
	return orders.New(orders.Options{
		VM:       r.cfg.Router.VM,
		Zone:     r.cfg.Router.Zone,
		Holder:   string(r.cfg.Router.VM) + "/" + string(amaranthtide.NewBootID()),
		Table:    r.table,
		Platform: r.platform,
		Weights:  r.platform,
		Engines:  r.engines,
		Control:  r.control,
		Logger:   r.opts.Logger.Named("orders"),
	})
}

// serveReady is the readiness check of the platform's load balancer.
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
	if r.service.Stopping() {
		return false
	}
	select {
	case <-r.spread.Loaded():
		return r.control.MayOwn(time.Now())
	default:
		return false
	}
}

func (r *Router) registerMetrics() error {
	if err := ingress.RegisterMetrics(r.meter, r.guard); err != nil {
		return err
	}
	if err := r.meter.Gauge("amaranthtide.table.revision", "Revision of the table in force.",
		func() int64 { return int64(r.table.Revision()) }); err != nil {
		return err
	}
	return r.meter.Counter("amaranthtide.control.sent", "Bytes of control messages sent.",
		func() int64 { return int64(r.ControlBytes()) })
}
