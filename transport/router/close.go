package router

import (
	"context"
	"time"

	"amaranthtide/coordination/drain"
)

// Close shuts the router down gracefully. It announces the shutdown to the other
// routers, accepts new requests for the shutdown grace period, waits for requests in
// flight and releases all resources. Requests that outlast the drain timeout are
// aborted; Close then returns the timeout error.
func (r *Router) Close() error {
	var err error
	r.closeOnce.Do(func() { err = r.close() })
	return err
}

func (r *Router) close() error {
	now := time.Now()
	noticedAt := now.Add(r.cfg.Router.ShutdownGrace)
	r.service.Stop(drain.Plan{NoticedAt: noticedAt, AbortAt: noticedAt.Add(r.cfg.Router.DrainTimeout)})
	r.opts.Logger.Info("router leaves", "grace", r.cfg.Router.ShutdownGrace)
	r.control.Leave(now)
	sleep(r.cfg.Router.ShutdownGrace)
	ctx, cancel := context.WithTimeout(context.Background(), r.cfg.Router.DrainTimeout)
	defer cancel()
	err := r.callerServer.Shutdown(ctx)
	if meshErr := r.mesh.Shutdown(ctx); err == nil {
		err = meshErr
	}
	if err != nil {
		r.opts.Logger.Warn("requests aborted by the drain timeout", "error", err)
	}
	r.stop()
	return err
}

func sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	<-timer.C
}

// Kill closes all connections without draining, as if the process had crashed.
func (r *Router) Kill() {
	r.closeOnce.Do(func() {
		r.cancel()
		r.stop()
	})
}

// stop closes the components that were created: the HTTP servers, then the components
// with background loops, and last the mesh, the owner and the clients that they use.
func (r *Router) stop() {
	r.cancel()
	r.closeListeners()
	if r.callerServer != nil {
		r.callerServer.Close()
	}
	if r.consoleServer != nil {
		r.consoleServer.Close()
	}
	r.guard.Close()
	if r.orders != nil {
		r.orders.Close()
	}
	if r.sweeper != nil {
		r.sweeper.Close()
	}
	if r.prober != nil {
		r.prober.Close()
	}
	if r.groups != nil {
		r.groups.Close()
	}
	if r.spread != nil {
		r.spread.Close()
	}
	if r.control != nil {
		r.control.Close()
	}
	if r.mesh != nil {
		_ = r.mesh.Close()
	}
	if r.owner != nil {
		r.owner.Close()
	}
	if r.claims != nil {
		r.claims.Close()
	}
	if r.services != nil {
		r.services.Close()
	}
	if r.engines != nil {
		r.engines.Close()
	}
	if r.platform != nil {
		r.platform.Close()
	}
	r.wg.Wait()
	if r.meter != nil {
		_ = r.meter.Close(context.Background())
	}
}
