package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// deployment is a small deployment: a store, and routers as processes of their own.
type deployment struct {
	dir     string // temporary
	root    string // of the repository
	rec     *record
	store   *store
	routers []*router
}

// router is one process of the deploy file's program.
type router struct {
	name, zone, ip        string
	front, ready, control int
	settings              string
	cmd                   *exec.Cmd
	ended                 chan struct{}
}

// freePort returns a port that nothing listens on at the address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	addr, ok := l.Addr().(*net.TCPAddr)
	if !ok {
		return 0, errors.New("listener has no TCP address")
	}
	return addr.Port, nil
}

// settings of a small deployment, with the figures of the pages' example.
var commonSettings = map[string]string{
	"contracts":                 "base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform",
	"bounds.grace_s":            "8",
	"bounds.cap_factor":         "2",
	"bounds.drain_ms":           "2000",
	"bounds.config_apply_ms":    "2000",
	"bounds.retry_budget_ratio": "0.2",
	"bounds.budget_slack":       "104",
	"bounds.budget_window_s":    "10",
	"limits.memory_mb":          "206",
	"limits.link_mbps":          "700",
}

var (
	sectionPattern     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}.*?\{\{/([a-z_.]+)\}\}\n?`)
	placeholderPattern = regexp.MustCompile(`\{\{([a-z_.]+)\}\}`)
)

// render fills the template of the deploy file as the platform does. The sections of the template are for
// settings that this deployment doesn't have.
func render(template string, values map[string]string) (string, error) {
	var missing []string
	text := sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		name := sectionPattern.FindStringSubmatch(section)[1]
		if _, ok := values[name]; ok {
			missing = append(missing, "section "+name)
		}
		return ""
	})
	text = placeholderPattern.ReplaceAllStringFunc(text, func(p string) string {
		name := placeholderPattern.FindStringSubmatch(p)[1]
		v, ok := values[name]
		if !ok {
			missing = append(missing, name)
		}
		return v
	})
	if len(missing) > 0 {
		return "", fmt.Errorf("template: no value for %v", missing)
	}
	return text, nil
}

// newDeployment starts the store, and one router in each of the given zones.
func newDeployment(rec *record, zones ...string) (*deployment, error) {
	root := os.Getenv("ROOT")
	if root == "" {
		return nil, errors.New("ROOT isn't set")
	}
	dir, err := os.MkdirTemp("", "review-third-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, root: root, rec: rec}
	if d.store, err = newStore(); err != nil {
		return d, err
	}
	network := 20 + os.Getpid()%200
	for i, zone := range zones {
		r := &router{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", network, i+1, 1+os.Getpid()/200%200)}
		for _, port := range []*int{&r.front, &r.ready, &r.control} {
			if *port, err = freePort(r.ip); err != nil {
				return d, err
			}
		}
		d.routers = append(d.routers, r)
	}
	return d, nil
}

// start starts a router.
func (d *deployment) start(r *router) error {
	template, err := os.ReadFile(filepath.Join(d.root, "deploy", "router.ini"))
	if err != nil {
		return err
	}
	values := map[string]string{"node_name": r.name, "zone": r.zone, "ip": r.ip, "provider.address": d.store.addr}
	for k, v := range commonSettings {
		values[k] = v
	}
	for name, port := range map[string]int{"front": r.front, "ready_addr": r.ready, "control": r.control} {
		values["listen."+name] = fmt.Sprintf("%s:%d", r.ip, port)
	}
	var seeds []string
	for _, other := range d.routers {
		seeds = append(seeds, fmt.Sprintf("%s:%d", other.ip, other.control))
	}
	values["seeds"] = strings.Join(seeds[:min(3, len(seeds))], ",")
	text, err := render(string(template), values)
	if err != nil {
		return err
	}
	r.settings = filepath.Join(d.dir, r.name+".ini")
	if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	r.cmd = exec.Command("target/amaranthtidegw")
	r.cmd.Dir, r.cmd.Stdout, r.cmd.Stderr = d.root, log, log
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), settingsVariable + "=" + r.settings}
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return err
	}
	r.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(r.cmd, r.ended)
	return nil
}

// startAll starts all routers and waits until they are ready and registered.
func (d *deployment) startAll() error {
	for _, r := range d.routers {
		if err := d.start(r); err != nil {
			return err
		}
	}
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, r := range d.routers {
			if r.isReady() {
				ready++
			}
		}
		if ready == len(d.routers) && d.store.count("amaranthtideRouters") >= ready {
			return nil
		}
		if time.Now().After(until) {
			d.showLogs()
			return fmt.Errorf("%d of %d routers are ready, %d registered", ready, len(d.routers), d.store.count("amaranthtideRouters"))
		}
	}
}

// showLogs writes the first lines of the routers' logs to the record.
func (d *deployment) showLogs() {
	for _, r := range d.routers {
		text, err := os.ReadFile(filepath.Join(d.dir, r.name+".log"))
		d.rec.add("%s: running %t, ready %t, log (%v): %.2000s", r.name, r.isRunning(), r.isReady(), err, text)
	}
}

func (r *router) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/-/ready", r.ip, r.ready))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (r *router) isRunning() bool {
	select {
	case <-r.ended:
		return false
	default:
		return true
	}
}

func (r *router) frontAddr() string { return fmt.Sprintf("%s:%d", r.ip, r.front) }

// close ends all processes. With KEEP set, the logs of the routers stay.
func (d *deployment) close() {
	for _, r := range d.routers {
		if r.cmd != nil {
			_ = r.cmd.Process.Kill()
			<-r.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs are in", d.dir)
	}
}
