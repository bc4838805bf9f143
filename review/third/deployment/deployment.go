// Package deployment puts a small deployment together: the store, nodes in processes of their
// own, the backend beside each, and a record of what was sent, answered and run.
package deployment

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/flamingotack/flamingotack/review/third/backend"
	"github.com/flamingotack/flamingotack/review/third/node"
	"github.com/flamingotack/flamingotack/review/third/store"
)

const (
	// readyTimeout is how long a node may take until it is ready.
	readyTimeout = 15 * time.Second
	// exitNotRun is the exit status of a case that could not run.
	exitNotRun = 2
	// Host is the host of all routes.
	Host = "h.example"
	// Key is the key of the tenant Tenant.
	Key    = "key-one"
	Tenant = "tenant-one"
)

type (
	// Deployment is a running deployment. It is safe for concurrent use.
	Deployment struct {
		// Store is the store, Nodes are the nodes and Backends the backends beside them.
		Store    *store.Store
		Nodes    []*node.Node
		Backends []*backend.Backend
		// Directory is a temporary directory for settings and logs.
		Directory string

		mu      sync.Mutex
		record  *os.File
		started time.Time
		runs    []backend.Run
	}

	// Machine is a machine with a node and a backend.
	Machine struct {
		// Service and Zone are the service of the backend and the zone of the machine.
		Service, Zone string
	}

	// Route is a route of the configuration.
	Route struct {
		// Prefix, Kind and Service are the prefix, the routeType and the service.
		Prefix, Kind, Service string
		// Timeout is the timeout.
		Timeout time.Duration
		// Anonymous says that requests need no key.
		Anonymous bool
		// MaxAttempts is the number of backends for an attempt; 0 means 2.
		MaxAttempts int
	}

	// Config is a configuration of the operator.
	Config struct {
		Version int
		Routes  []Route
		// Services are the names of the services.
		Services []string
		// Keys are the keys of Tenant. Without any, the configuration does not name it.
		Keys []string
		// RatePerSecond and Burst are the limit of Tenant in requests; 0 means none.
		RatePerSecond, Burst float64
	}
)

// New starts the store and creates the machines, whose nodes and backends are not started.
// program is the path of the node program, recordPath that of the record.
func New(program, recordPath string, machines []Machine) (d *Deployment, err error) {
	d = &Deployment{started: time.Now()}
	if d.record, err = os.Create(recordPath); err != nil {
		return nil, err
	}
	if d.Directory, err = os.MkdirTemp("", "flamingotack-review-"); err != nil {
		return nil, err
	}
	if d.Store, err = store.Start("127.0.0.1"); err != nil {
		return nil, err
	}
	for i, m := range machines {
		ip := machineIP(i)
		b, err := backend.New(ip)
		if err != nil {
			return nil, err
		}
		n, err := node.New(node.Settings{Name: fmt.Sprintf("n%d", i), Zone: m.Zone, Service: m.Service, IP: ip, BackendAddress: b.Address(), StoreAddress: d.Store.Address, MemoryMegabytes: 284}, program, d.Directory)
		if err != nil {
			return nil, err
		}
		b.Service, b.Zone, b.HeartbeatAddress = m.Service, m.Zone, n.HeartbeatAddress
		b.OnRun = d.recordRun
		d.Nodes, d.Backends = append(d.Nodes, n), append(d.Backends, b)
	}
	go d.closeOnSignal()
	return d, nil
}

// closeOnSignal ends the processes if this one is asked to end.
func (d *Deployment) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	d.Close()
	os.Exit(exitNotRun)
}

// machineIP returns the loopback address of a machine. Each process that plays a deployment has
// addresses of its own, so that a port that is free while a node restarts is not taken by another
// deployment.
func machineIP(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 10+pid%200, pid/200%250, 10+number)
}

// Start publishes a configuration, starts all nodes and backends and waits until the nodes are
// ready and have had a moment to connect.
func (d *Deployment) Start(c Config) error {
	d.Publish(c)
	for _, n := range d.Nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	for i, n := range d.Nodes {
		if err := n.AwaitReady(readyTimeout); err != nil {
			return err
		}
		if err := d.Backends[i].Start(fmt.Sprintf("i-%d-1", i), true); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	return nil
}

// Close ends all processes and removes the temporary directory. The output of the nodes is kept in
// the directory that the environment variable LOGS names, if it is set.
func (d *Deployment) Close() {
	for _, n := range d.Nodes {
		n.Kill()
	}
	if directory := os.Getenv("LOGS"); directory != "" {
		d.CopyLogs(directory)
	}
	d.Store.Close()
	os.RemoveAll(d.Directory)
	d.record.Close()
}

// Publish writes a configuration to the store, whose answer is the acknowledgement.
func (d *Deployment) Publish(c Config) {
	d.Store.Put(store.OperatorTopic, "config", c.encode())
	d.Note("operator", "configuration version %d written", c.Version)
}

// Note adds a line to the record, with the time since the start.
func (d *Deployment) Note(who, format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f %s: %s\n", time.Since(d.started).Seconds(), who, fmt.Sprintf(format, args...))
}

// Runs returns what the backends ran so far.
func (d *Deployment) Runs() []backend.Run {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]backend.Run(nil), d.runs...)
}

// CopyLogs copies the output of the nodes to a directory.
func (d *Deployment) CopyLogs(directory string) {
	for _, n := range d.Nodes {
		if data, err := os.ReadFile(n.LogPath()); err == nil {
			_ = os.WriteFile(filepath.Join(directory, n.Name+".log"), data, 0o600)
		}
	}
}

func (d *Deployment) recordRun(r backend.Run) {
	d.Note("backend "+r.Instance, "runs %s %s, attempt %s, tenant %q, caller %q, %d bytes of body", r.Method, r.Target, r.Attempt, r.Tenant, r.CallerService, r.BodyBytes)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs = append(d.runs, r)
}

// encode returns the configuration in the operator's format.
func (c *Config) encode() []byte {
	rules := []map[string]any{}
	for i, r := range c.Routes {
		attempts := r.MaxAttempts
		if attempts == 0 {
			attempts = 2
		}
		rules = append(rules, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "routeType": r.Kind, "targetLatency": "2000ms", "priority": 1, "anonymous": r.Anonymous,
			"match":  map[string]any{"pathPrefix": r.Prefix},
			"action": map[string]any{"service": r.Service, "timeout": fmt.Sprintf("%dms", r.Timeout.Milliseconds()), "maxAttempts": attempts},
		})
	}
	clusters := []map[string]any{}
	for _, s := range c.Services {
		clusters = append(clusters, map[string]any{"name": s, "healthPath": "/health", "maxConnections": 300, "protocol": "h1", "tls": false, "warmup": "3s", "warmupPerS": 4.4})
	}
	tenants := []map[string]any{{"name": "tenant-two", "apiKeys": []string{"key-two"}, "priority": 1}}
	if len(c.Keys) > 0 {
		tenants = append(tenants, map[string]any{"name": Tenant, "apiKeys": c.Keys, "priority": 1, "ratePerS": c.RatePerSecond, "burst": c.Burst})
	}
	data, _ := json.Marshal(map[string]any{
		"version":   c.Version,
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"tenants":   tenants,
		"listeners": []map[string]any{{"host": Host, "rules": rules}},
		"clusters":  clusters,
	})
	return data
}
