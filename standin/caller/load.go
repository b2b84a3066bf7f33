package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthtide"
)

const (
	headerChat    = "Amaranthtide-Chat"
	headerClass   = "Amaranthtide-Class"
	headerTimeout = "Amaranthtide-Timeout-Millis"
	headerKey     = "Idempotency-Key"

	// bufferSize limits the memory of thousands of connections.
	bufferSize = 4 << 10
	// timeoutMargin is how long a caller waits for the router's error after the deadline
	// that it sent to the router.
	timeoutMargin = 2 * time.Second
	// settleTime lets attempts in flight at the end reach the simulated servers before
	// the outcomes are checked.
	settleTime = 300 * time.Millisecond
)

// Load runs callers against routers. Use New to create one.
type Load struct {
	cfg             Config
	transport       *http.Transport
	balancer        *balancer
	stats           *stats
	smallWorkspaces amaranthtide.Set[amaranthtide.WorkspaceName]
	requestsStarted atomic.Int64
	wg              sync.WaitGroup
}

// New returns a Load. It sends no requests before Run.
func New(cfg Config) *Load {
	cfg = cfg.withDefaults()
	l := &Load{cfg: cfg, balancer: &balancer{random: cfg.Random}, smallWorkspaces: amaranthtide.NewSet[amaranthtide.WorkspaceName]()}
	l.balancer.setRouters(cfg.Routers)
	for _, w := range cfg.Workspaces {
		if w.Small {
			l.smallWorkspaces.Add(w.Name)
		}
	}
	l.transport = &http.Transport{
		DialContext:         l.dial,
		DisableCompression:  true,
		ReadBufferSize:      bufferSize,
		WriteBufferSize:     bufferSize,
		MaxIdleConnsPerHost: 1024,
		IdleConnTimeout:     time.Minute,
	}
	return l
}

// SetRouters replaces the addresses of the routers. It may be called during a run.
func (l *Load) SetRouters(addrs []netip.AddrPort) { l.balancer.setRouters(addrs) }

// Run starts requests for Config.Duration or until ctx is canceled, waits until all have
// ended and returns the result. It may be called once.
func (l *Load) Run(ctx context.Context) Result {
	l.stats = newStats()
	defer l.transport.CloseIdleConnections()
	startCtx, cancel := context.WithTimeout(ctx, l.cfg.Duration)
	defer cancel()
	n := uint64(0)
	startCallers := func(w Workspace, count int, run func(*worker, context.Context)) {
		for range count {
			n++
			caller := &worker{load: l, workspace: w.Name, number: n, random: rand.New(rand.NewPCG(l.cfg.Seed, n))}
			l.wg.Add(1)
			go func() {
				defer l.wg.Done()
				run(caller, startCtx)
			}()
		}
	}
	for _, w := range l.cfg.Workspaces {
		startCallers(w, w.ChatCallers, (*worker).runChats)
		startCallers(w, w.QuickCallers, (*worker).runQuickRequests)
		startCallers(w, w.ServiceCallers, (*worker).runServiceCalls)
	}
	l.wg.Wait()
	time.Sleep(settleTime)
	return l.buildResult()
}

func (l *Load) dial(ctx context.Context, _, address string) (net.Conn, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	if l.cfg.Dial != nil {
		return l.cfg.Dial(ctx, addr)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr.String())
}

// worker runs the requests of one caller.
type worker struct {
	load      *Load
	workspace amaranthtide.WorkspaceName
	number    uint64
	random    *rand.Rand
	requests  int
}

// pause waits between 0.5 and 1.5 times the mean pause and reports whether another
// request may start.
func (w *worker) pause(startCtx context.Context, mean time.Duration) bool {
	t := time.NewTimer(time.Duration((0.5 + w.random.Float64()) * float64(mean)))
	defer t.Stop()
	select {
	case <-startCtx.Done():
		return false
	case <-t.C:
		return w.load.requestsStarted.Add(1) <= int64(w.load.cfg.MaxRequests)
	}
}

// nonce returns a string that is unique within the run.
func (w *worker) nonce() string {
	w.requests++
	return fmt.Sprintf("%d-%d-%d", w.load.cfg.Seed, w.number, w.requests)
}

// try sends one HTTP request and reads its answer. If a router refuses the connection,
// the request was not sent and goes to the next router.
func (w *worker) try(method, path string, header http.Header, body []byte, read func(*http.Response) answer) answer {
	l := w.load
	ctx, cancel := context.WithTimeout(context.Background(), l.cfg.Timeout+timeoutMargin)
	defer cancel()
	header.Set("Authorization", "Bearer "+string(w.workspace))
	header.Set(headerTimeout, strconv.FormatInt(l.cfg.Timeout.Milliseconds(), 10))
	a := answer{outcome: refused, kind: "noRouter"}
	for range l.balancer.size() {
		addr := l.balancer.pick(time.Now())
		req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, bytes.NewReader(body))
		if err != nil {
			return answer{kind: err.Error()}
		}
		req.Header = header
		resp, err := l.transport.RoundTrip(req)
		if errors.Is(err, syscall.ECONNREFUSED) {
			l.balancer.markRefused(time.Now(), addr)
			continue
		}
		if err != nil {
			a = answer{}
			break
		}
		if resp.StatusCode == http.StatusOK {
			a = read(resp)
		} else {
			a = readError(resp)
		}
		_ = resp.Body.Close()
		break
	}
	l.stats.addTry(a)
	return a
}

func (w *worker) recordRequest(class string, startedAt time.Time, a answer, body []byte, r reuse) {
	w.load.stats.addRequest(requestRecord{
		workspace: w.workspace, class: class, startedAt: startedAt, endedAt: time.Now(),
		answer: a, body: xxhash.Sum64(body), reuse: r,
	})
}
