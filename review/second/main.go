// Command rig plays the cases of the review that are scripts. It starts the routers as the deploy file
// says, as processes of their own, beside stand-ins for the store, the servers and the clients.
//
// # Usage
//
//	rig CASE DIR
//
// It runs in the root of the repository and writes DIR/record.txt. The exit status is 0 if the rule held,
// 1 if it was broken, and 2 if the case could not run. With TROUBLE=0 in the environment, the disruption
// is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// maxDuration bounds a case.
const maxDuration = 110 * time.Second

const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2
)

// fleetRouters and poolServers are the numbers of routers and of model servers of the deployment
// kite-entries.
const (
	fleetRouters = 12
	poolServers  = 18
)

// zones are the zones of routers and servers.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// cases are the cases by the names of their folders. Each returns what broke the rule.
var cases = map[string]func(*rig) ([]string, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE DIR")
		os.Exit(statusFailed)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusFailed)
	}
	r := &rig{rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	status := r.play(cases[os.Args[1]])
	rec.close()
	os.Exit(status)
}

// rig is what a case has started.
type rig struct {
	rec     *recorder
	trouble bool
	dir     string
	subnet  string
	deploy  deployment
	store   *store
	servers []*server

	// mu guards the routers and closed, after which none is started any more.
	mu      sync.Mutex
	routers []*router
	closed  bool
}

// launch starts the process of a router, unless the case has ended.
func (r *rig) launch(ro *router) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return fmt.Errorf("the case has ended")
	}
	return ro.start()
}

// play runs a case and returns the exit status.
func (r *rig) play(f func(*rig) ([]string, error)) int {
	defer r.close()
	r.rec.printf("disruption: %v", r.trouble)
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		if err := r.open(); err != nil {
			done <- result{err: err}
			return
		}
		broken, err := f(r)
		done <- result{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	var got result
	select {
	case got = <-done:
	case s := <-stop:
		got.err = fmt.Errorf("stopped by signal %v", s)
	case <-time.After(maxDuration):
		got.err = fmt.Errorf("not done after %v", maxDuration)
	}
	if got.err != nil {
		r.rec.printf("the case could not run: %v", got.err)
		fmt.Println("could not run:", got.err)
		return statusFailed
	}
	for _, b := range got.broken {
		r.rec.printf("BROKEN: %s", b)
	}
	if len(got.broken) > 0 {
		fmt.Printf("broken: %d times, the first: %s\n", len(got.broken), got.broken[0])
		return statusBroken
	}
	r.rec.printf("the rule held")
	fmt.Println("held")
	return statusHeld
}

// open prepares the folder for settings and logs, the addresses and the store.
func (r *rig) open() error {
	var err error
	if r.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return err
	}
	if r.deploy, err = readDeployment(); err != nil {
		return err
	}
	pid := os.Getpid()
	r.subnet = fmt.Sprintf("127.%d.%d.", 16+pid/200%200, 1+pid%200)
	r.store, err = newStore(r.ip(1))
	return err
}

// ip returns a loopback address of the case.
func (r *rig) ip(n int) string { return fmt.Sprint(r.subnet, n) }

// startRouters starts n routers, spread over three zones, and waits until they are ready.
func (r *rig) startRouters(n int) error {
	p, err := freePorts(r.ip(1))
	if err != nil {
		return err
	}
	f := fleetSettings{dir: r.dir, ports: p}
	for i := range min(n, 3) {
		f.seeds = append(f.seeds, address(r.ip(10+i), p.control))
	}
	for i := range n {
		if f.store, err = r.store.listen(r.ip(200 + i)); err != nil {
			return err
		}
		ro, err := r.deploy.newRouter(fmt.Sprintf("front-%d", i+1), zones[i%len(zones)], r.ip(10+i), f, r.rec)
		if err != nil {
			return err
		}
		r.mu.Lock()
		r.routers = append(r.routers, ro)
		r.mu.Unlock()
		if err := r.launch(ro); err != nil {
			return err
		}
	}
	return awaitReady(r.routers, 15*time.Second)
}

// close ends all that was started. The logs stay only if KEEP names a folder for them.
func (r *rig) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for _, ro := range r.routers {
		ro.stop()
	}
	for _, s := range r.servers {
		s.close()
	}
	if r.store != nil {
		r.store.close()
	}
	if keep := os.Getenv("KEEP"); keep != "" && r.dir != "" {
		_ = os.Rename(r.dir, filepath.Join(keep, filepath.Base(r.dir)))
	}
	if r.dir != "" {
		_ = os.RemoveAll(r.dir)
	}
}
