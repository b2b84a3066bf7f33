package console

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"amaranthtide"
	"amaranthtide/coordination/change"
	"amaranthtide/coordination/spread"
	"amaranthtide/protocol/operation"
	"amaranthtide/protocol/reply"
	"amaranthtide/transport/orders"
)

const (
	defaultLogLimit = 100
	maxLogLimit     = 1000
	// logPageSize is the number of log entries read by one call to the table service.
	logPageSize = 500
	// maxLogPages bounds the calls for one query, since the platform serves only about
	// 2,000 reads per second for the whole fleet.
	maxLogPages = 64
	// defaultOrdersWindow is the age of the oldest orders returned if the query has no
	// start time.
	defaultOrdersWindow = 24 * time.Hour
)

// logQuery selects entries of the audit trail.
type logQuery struct {
	row      string
	operator amaranthtide.OperatorName
	since    time.Time
	until    time.Time
	limit    int
	// forward reads entries following after, oldest first. Otherwise the entries
	// preceding before are read, latest first; a before of 0 is the end of the log.
	forward bool
	after   amaranthtide.Revision
	before  amaranthtide.Revision
	orders  bool
}

func (h *Handler) serveLog(w http.ResponseWriter, r *http.Request) {
	q, err := parseLogQuery(r.URL.Query())
	var out operation.AuditLog
	if err == nil {
		out, err = h.queryLog(r.Context(), q)
	}
	if err != nil {
		writeRefusal(w, operation.ErrorResponse{Body: reply.New(err)}, err)
		return
	}
	writeJSON(w, http.StatusOK, out)
}

func parseLogQuery(v url.Values) (logQuery, error) {
	q := logQuery{row: v.Get("row"), operator: amaranthtide.OperatorName(v.Get("operator")), limit: defaultLogLimit, orders: true}
	var err error
	keepFirst := func(e error) {
		if err == nil {
			err = e
		}
	}
	for name, t := range map[string]*time.Time{"since": &q.since, "until": &q.until} {
		if text := v.Get(name); text != "" {
			parsed, e := time.Parse(time.RFC3339, text)
			if e != nil {
				keepFirst(badQuery(name, text, "a time such as 2026-01-31T12:00:00Z"))
			}
			*t = parsed
		}
	}
	for name, at := range map[string]*amaranthtide.Revision{"after": &q.after, "before": &q.before} {
		if text := v.Get(name); text != "" {
			n, e := strconv.ParseUint(text, 10, 64)
			if e != nil {
				keepFirst(badQuery(name, text, "a revision"))
			}
			*at = amaranthtide.Revision(n)
		}
	}
	q.forward = v.Get("after") != ""
	if text := v.Get("limit"); text != "" {
		n, e := strconv.Atoi(text)
		if e != nil || n < 1 || n > maxLogLimit {
			keepFirst(badQuery("limit", text, "1 to 1000"))
		}
		q.limit = n
	}
	if text := v.Get("orders"); text != "" {
		with, e := strconv.ParseBool(text)
		if e != nil {
			keepFirst(badQuery("orders", text, "true or false"))
		}
		q.orders = with
	}
	return q, err
}

func (q logQuery) matches(c amaranthtide.Change) bool {
	return matchesRow(q.row, c.Key.String()) && (q.operator == "" || c.Operator == q.operator) && q.within(c.Time)
}

// matchesRow reports whether a row filter matches a key. The filter is "kind/name", or
// "kind" for all rows of a kind; an empty filter matches every key.
func matchesRow(row, key string) bool {
	return row == "" || key == row || !strings.Contains(row, "/") && strings.HasPrefix(key, row+"/")
}

func (q logQuery) within(t time.Time) bool {
	return (q.since.IsZero() || !t.Before(q.since)) && (q.until.IsZero() || t.Before(q.until))
}

func (h *Handler) queryLog(ctx context.Context, q logQuery) (operation.AuditLog, error) {
	var out operation.AuditLog
	var err error
	if q.forward {
		out, err = h.logForward(ctx, q)
	} else {
		out, err = h.logBackward(ctx, q)
	}
	if err != nil {
		return out, err
	}
	if out.Changes == nil {
		out.Changes = []amaranthtide.Change{}
	}
	if q.orders && !q.forward && q.before == 0 {
		out.Orders, err = h.queryOrders(ctx, q)
	}
	return out, err
}

func (h *Handler) logForward(ctx context.Context, q logQuery) (operation.AuditLog, error) {
	var out operation.AuditLog
	at := q.after
	for range maxLogPages {
		changes, err := h.readLogPage(ctx, at, logPageSize)
		if err != nil {
			return out, err
		}
		for _, c := range changes {
			at = c.Revision
			if q.matches(c) {
				out.Changes = append(out.Changes, c)
			}
			if len(out.Changes) == q.limit {
				out.After = at
				return out, nil
			}
		}
		if len(changes) == 0 {
			return out, nil
		}
	}
	out.After = at
	return out, nil
}

// logBackward reads pages starting at the end of the log, so that finding the latest
// entries takes the same time in a log of any length.
func (h *Handler) logBackward(ctx context.Context, q logQuery) (operation.AuditLog, error) {
	var out operation.AuditLog
	end := q.before
	if end == 0 {
		head, err := h.readHeadRevision(ctx)
		if err != nil {
			return out, err
		}
		end = head + 1
	}
	var found []amaranthtide.Change // latest first
	for range maxLogPages {
		if end <= 1 {
			break
		}
		begin := end - min(end, logPageSize+1)
		changes, err := h.readLogPage(ctx, begin, int(end-begin-1))
		if err != nil {
			return out, err
		}
		for i := len(changes) - 1; i >= 0 && len(found) < q.limit; i-- {
			end = changes[i].Revision
			if !q.since.IsZero() && changes[i].Time.Before(q.since.Add(-clockSkew)) {
				end = 1
				break
			}
			if q.matches(changes[i]) {
				found = append(found, changes[i])
			}
		}
		if len(found) == q.limit {
			break
		}
		end = min(end, begin+1)
	}
	if end > 1 {
		out.Before = end
	}
	for i := len(found) - 1; i >= 0; i-- {
		out.Changes = append(out.Changes, found[i])
	}
	return out, nil
}

// clockSkew is the greatest assumed difference between the clocks of two routers.
// Entries are ordered by revision, so their times may be out of order by this much.
const clockSkew = time.Minute

func (h *Handler) readLogPage(ctx context.Context, after amaranthtide.Revision, limit int) ([]amaranthtide.Change, error) {
	page := spread.LogPage(after, limit)
	rows, err := h.list(ctx, page.Prefix, page.After, page.Limit)
	if err != nil {
		return nil, err
	}
	return spread.DecodeChanges(rows)
}

func (h *Handler) readHeadRevision(ctx context.Context) (amaranthtide.Revision, error) {
	row, err := h.get(ctx, change.HeadKey)
	if err != nil {
		return 0, err
	}
	return change.DecodeHead(row)
}

func (h *Handler) readChange(ctx context.Context, r amaranthtide.Revision) (amaranthtide.Option[amaranthtide.Change], error) {
	row, err := h.get(ctx, change.LogStoredKey(r))
	if err != nil {
		return amaranthtide.None[amaranthtide.Change](), err
	}
	stored, ok := row.Get()
	if !ok {
		return amaranthtide.None[amaranthtide.Change](), nil
	}
	c, err := change.DecodeChange(stored)
	return amaranthtide.Some(c), err
}

// queryOrders returns the orders to the engines of all zones that match the query. The
// operator filter matches the router that sent the order.
func (h *Handler) queryOrders(ctx context.Context, q logQuery) ([]operation.Order, error) {
	since := q.since
	if since.IsZero() {
		since = time.Now().Add(-defaultOrdersWindow)
	}
	var found []operation.Order
	for _, row := range h.opts.Table.Zones() {
		zone := amaranthtide.ZoneName(row.Key.Name)
		after := orders.RecordKey(zone, since, "")
		for range maxLogPages {
			rows, err := h.list(ctx, orders.ZonePrefix(zone), after, logPageSize)
			if err != nil {
				return nil, err
			}
			for _, stored := range rows {
				after = stored.Key
				o, err := orders.DecodeRecord(stored)
				if err != nil {
					return nil, err
				}
				operator := amaranthtide.OperatorName(o.VM)
				if matchesRow(q.row, "backendServer/"+string(o.Server)) && (q.operator == "" || q.operator == operator) && q.within(o.Time) {
					found = append(found, o)
				}
			}
			if len(rows) == 0 {
				break
			}
		}
	}
	sortOrders(found)
	return found[max(0, len(found)-q.limit):], nil
}

func sortOrders(list []operation.Order) {
	slices.SortStableFunc(list, func(a, b operation.Order) int { return a.Time.Compare(b.Time) })
}
