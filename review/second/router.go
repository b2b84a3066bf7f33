package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ports are the ports of a router, which are the same on all machines. Each machine has a loopback address
// of its own.
type ports struct{ front, ready, control int }

// freePorts returns ports that are free at the address.
func freePorts(ip string) (ports, error) {
	var p ports
	for _, port := range []*int{&p.front, &p.ready, &p.control} {
		l, err := net.Listen("tcp", address(ip, 0))
		if err != nil {
			return p, err
		}
		defer l.Close() // at the end, so that the ports differ
		*port = l.Addr().(*net.TCPAddr).Port
	}
	return p, nil
}

// deployment is what the deploy file says of the routers.
type deployment struct {
	command  []string
	template string
}

var (
	runLine      = regexp.MustCompile(`(?m)^run = "([^"]+)"`)
	templateLine = regexp.MustCompile(`(?m)^template = "([^"]+)"`)
	section      = regexp.MustCompile(`(?s)\{\{#([^}]+)\}\}.*?\{\{/[^}]+\}\}\n?`)
	placeholder  = regexp.MustCompile(`\{\{([^}]+)\}\}`)
)

// readDeployment reads the deploy file of the repository, which is the current directory.
func readDeployment() (deployment, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return deployment{}, err
	}
	run, tmpl := runLine.FindSubmatch(data), templateLine.FindSubmatch(data)
	if run == nil || tmpl == nil {
		return deployment{}, fmt.Errorf("deploy/system.toml names no program or no template")
	}
	text, err := os.ReadFile(string(tmpl[1]))
	if err != nil {
		return deployment{}, err
	}
	return deployment{strings.Fields(string(run[1])), string(text)}, nil
}

// render fills in the template. Sections are those of bounds that these deployments don't have.
func (d deployment) render(values map[string]string) (string, error) {
	var missing []string
	text := placeholder.ReplaceAllStringFunc(section.ReplaceAllString(d.template, ""), func(p string) string {
		v, ok := values[strings.Trim(p, "{}")]
		if !ok {
			missing = append(missing, p)
		}
		return v
	})
	if len(missing) > 0 {
		return "", fmt.Errorf("no value for %v in the template", missing)
	}
	return text, nil
}

// router is one router process.
type router struct {
	name, zone, ip string
	// store is the address at which the router calls the store.
	store    string
	ports    ports
	settings string
	command  []string
	log      *os.File
	rec      *recorder

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// fleetSettings are the settings that all routers of a case share.
type fleetSettings struct {
	dir   string
	store string
	seeds []string
	ports ports
}

// The bounds are those of the deployment kite-entries.
func (d deployment) newRouter(name, zone, ip string, f fleetSettings, rec *recorder) (*router, error) {
	text, err := d.render(map[string]string{
		"node_name": name, "zone": zone, "ip": ip, "seeds": strings.Join(f.seeds, ","), "provider.address": f.store,
		"listen.front": address(ip, f.ports.front), "listen.ready_addr": address(ip, f.ports.ready), "listen.control": address(ip, f.ports.control),
		"contracts":              "base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform",
		"bounds.grace_s":         fmt.Sprint(graceSeconds),
		"bounds.drain_ms":        "2000",
		"bounds.config_apply_ms": "2000", "bounds.cap_factor": "2", "bounds.retry_budget_ratio": "0.2",
		"bounds.budget_slack": "104", "bounds.budget_window_s": "10", "limits.memory_mb": "206", "limits.link_mbps": "700.0",
	})
	if err != nil {
		return nil, err
	}
	r := &router{name: name, zone: zone, ip: ip, store: f.store, ports: f.ports, settings: filepath.Join(f.dir, name+".ini"), command: d.command, rec: rec}
	if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	r.log, err = os.Create(filepath.Join(f.dir, name+".log"))
	return r, err
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// front returns the address for clients.
func (r *router) front() string { return address(r.ip, r.ports.front) }

// start starts the process.
func (r *router) start() error {
	cmd := exec.Command(r.command[0], r.command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wire.Variable + "=" + r.settings}
	cmd.Stdout, cmd.Stderr = r.log, r.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	r.mu.Lock()
	r.cmd, r.done = cmd, done
	r.mu.Unlock()
	r.rec.printf("router %s started, process %d", r.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		r.rec.printf("router %s, process %d, ended: %v", r.name, cmd.Process.Pid, err)
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (r *router) signal(s syscall.Signal) {
	r.rec.printf("router %s gets signal %v", r.name, s)
	_ = r.cmd.Process.Signal(s) // fails only if it has ended
}

// stop ends the process if it runs.
func (r *router) stop() {
	if r.cmd != nil {
		_ = r.cmd.Process.Kill()
		<-r.done
	}
	_ = r.log.Close()
}

// ready reports whether the router says that it takes connections.
func (r *router) ready() bool {
	conn, err := net.DialTimeout("tcp", address(r.ip, r.ports.ready), time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "GET /-/ready HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", r.ip)
	buf := make([]byte, 12)
	n, _ := conn.Read(buf)
	return string(buf[:n]) == "HTTP/1.1 200"
}

// awaitReady waits until all routers are ready.
func awaitReady(routers []*router, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, r := range routers {
		for !r.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("router %s is not ready after %v", r.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
