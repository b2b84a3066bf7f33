package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"amaranthtide"
	"amaranthtide/protocol/wire"
)

// OrderEffect is an order and the time at which it took effect.
type OrderEffect struct {
	Time  time.Time  `json:"time"`
	Order wire.Order `json:"order"`
}

// Orders returns the applied orders by time. The last one determines the state of the
// engine.
func (s *Server) Orders() []OrderEffect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.orders)
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o wire.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if status := s.checkOrder(o, false); status != 0 {
		w.WriteHeader(status)
		return
	}
	if s.cfg.OrderDelay > 0 {
		// The order proceeds even if its sender disconnects, as loading weights does.
		t := time.NewTimer(s.cfg.OrderDelay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-s.quit:
			panic(http.ErrAbortHandler)
		}
	}
	if status := s.checkOrder(o, true); status != 0 {
		w.WriteHeader(status)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// checkOrder returns the HTTP status with which the order is rejected, or 0. If apply is
// set, an order that is not rejected takes effect.
func (s *Server) checkOrder(o wire.Order, apply bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !o.Deadline.IsZero() && now.After(o.Deadline) {
		return http.StatusGatewayTimeout
	}
	if s.cfg.CheckFencing && o.Fencing < s.fencing {
		return http.StatusConflict
	}
	s.fencing = max(s.fencing, o.Fencing)
	if apply {
		s.orders = append(s.orders, OrderEffect{now, o})
	}
	return 0
}

// Fencing returns the highest fencing number seen.
func (s *Server) Fencing() amaranthtide.FencingNumber {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fencing
}
