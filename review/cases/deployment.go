// Package cases holds the scripted cases. Each starts a small deployment, disturbs it and
// judges one rule by what clients, backend servers and the platform have seen.
package cases

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/flamingotack/flamingotack/review/caller"
	"github.com/flamingotack/flamingotack/review/keeper"
	"github.com/flamingotack/flamingotack/review/launcher"
	"github.com/flamingotack/flamingotack/review/recorder"
	"github.com/flamingotack/flamingotack/review/runner"
)

const (
	boardService = "slotboard"
	deskService  = "bookdesk"
	boardHost    = "board.example"
	deskHost     = "desk.example"
	viewPath     = "/slots/"
	bookPath     = "/book/"
	// requestDeadline is the deadline of slot-view and slot-book.
	requestDeadline = 5 * time.Second
	// viewWork and bookWork are their mean work.
	viewWork = 60 * time.Millisecond
	bookWork = 78 * time.Millisecond
	// warmup is how long a backend server is cold, warmupRate the requests per second that
	// it bears meanwhile.
	warmup     = 3 * time.Second
	warmupRate = 50
	// backendDelay is the time from the start of a node that is added to that of its backend
	// server.
	backendDelay = 300 * time.Millisecond
	// settleTimeout bounds the time until the deployment serves.
	settleTimeout = 30 * time.Second
	// storeIP is the address of the store.
	storeIP = "127.0.0.1"
)

var zones = []string{"ahmedabad", "rajkot", "vadodara"}

type (
	// Environment is what a case is given.
	Environment struct {
		// Root is the folder of the repository.
		Root string
		// Trouble says that the disruption takes place.
		Trouble bool
		// Recorder records what happens.
		Recorder *recorder.Recorder

		mu         sync.Mutex
		deployment *deployment
	}

	// Case runs a deployment and reports whether the rule was broken. The error says why the
	// case could not run.
	Case func(e *Environment) (broken bool, err error)

	// tenant is a customer in the configuration.
	tenant struct {
		name, key string
		// ratePerSecond and burst are its quota; 0 sets none.
		ratePerSecond, burst float64
	}

	// deployment is a store and instances with their backend servers.
	deployment struct {
		*Environment
		directory string
		store     *keeper.Keeper
		platform  *launcher.Platform
		members   []*member
		// backendSettings is the model of all backend servers.
		backendSettings runner.Settings
	}

	// member is an instance with its node and its backend server.
	member struct {
		*launcher.Instance
		backend *runner.Runner
	}
)

// Stop ends all that the case has started, for a case that is given up.
func (e *Environment) Stop() {
	e.mu.Lock()
	d := e.deployment
	e.mu.Unlock()
	if d != nil {
		d.close()
	}
}

// defaultTenant has no quota.
var defaultTenant = tenant{name: "pulo780", key: "6wsjnbanfqasnmgkcuyj"}

// slots returns the slots of a backend server.
func slots(service string) int {
	if service == boardService {
		return 262
	}
	return 350
}

// workTime returns the work on a request to a path.
func workTime(path string) time.Duration {
	if len(path) >= len(bookPath) && path[:len(bookPath)] == bookPath {
		return bookWork
	}
	return viewWork
}

// newDeployment starts a store with a configuration and an instance for each of services, in
// the zones by turns.
func newDeployment(e *Environment, model runner.Settings, tenants []tenant, services ...string) (d *deployment, err error) {
	d = &deployment{Environment: e, backendSettings: model}
	e.mu.Lock()
	e.deployment = d
	e.mu.Unlock()
	defer func() {
		if err != nil {
			d.close()
		}
	}()
	if d.directory, err = os.MkdirTemp("", "review"); err != nil {
		return d, err
	}
	if d.store, err = keeper.Start(storeIP); err != nil {
		return d, err
	}
	config, err := configuration(7, tenants)
	if err != nil {
		return d, err
	}
	d.store.Put("keyed.op", "config", config)
	if d.platform, err = launcher.New(e.Root, d.directory, d.store.Address(), zones, e.Recorder); err != nil {
		return d, err
	}
	for i, service := range services {
		if _, err := d.add(service, zones[i%len(zones)], false); err != nil {
			return d, err
		}
	}
	return d, nil
}

// add starts a further instance. cold says that traffic runs already.
func (d *deployment) add(service, zone string, cold bool) (m *member, err error) {
	m = &member{Instance: d.platform.NewInstance(len(d.members)+1, zone, service)}
	if err := m.Start(); err != nil {
		return m, err
	}
	if cold {
		time.Sleep(backendDelay)
	}
	s := d.backendSettings
	s.Service, s.Zone, s.Address, s.HeartbeatAddress = service, zone, m.BackendAddress(), m.HeartbeatAddress()
	s.Slots, s.Warmup, s.Recorder = slots(service), warmup, d.Recorder
	if s.WorkTime == nil {
		s.WorkTime = workTime
	}
	if m.backend, err = runner.Start(s, cold); err != nil {
		return m, err
	}
	d.members = append(d.members, m)
	return m, nil
}

// close ends all that was started.
func (d *deployment) close() {
	if d.platform != nil {
		d.platform.Close()
	}
	for _, m := range d.members {
		m.backend.Stop()
	}
	if d.store != nil {
		d.store.Close()
	}
	if d.directory != "" {
		_ = os.RemoveAll(d.directory)
	}
}

// awaitService waits until each node is ready and reaches each service.
func (d *deployment) awaitService() error {
	deadline := time.Now().Add(settleTimeout)
	for _, m := range d.members {
		c := caller.New(m.CallerAddress(), d.Recorder)
		for good := 0; good < 2*len(d.members); {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s does not serve after %s", m.Name, settleTimeout)
			}
			if !m.Ready() {
				time.Sleep(50 * time.Millisecond)
				continue
			}
			if c.Send(viewRequest("settle", defaultTenant)).Status == http.StatusOK && c.Send(bookRequest("settle", defaultTenant, nil)).Status == http.StatusOK {
				good++
				continue
			}
			good = 0
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.Recorder.Printf("all %d nodes serve", len(d.members))
	return nil
}

// viewRequest is an idempotent request to slotboard.
func viewRequest(name string, t tenant) caller.Request {
	return caller.Request{Method: http.MethodGet, Host: boardHost, Path: viewPath + name, Key: t.key, Deadline: requestDeadline}
}

// bookRequest is a request to bookdesk that is not idempotent.
func bookRequest(name string, t tenant, body []byte) caller.Request {
	return caller.Request{Method: http.MethodPost, Host: deskHost, Path: bookPath + name, Key: t.key, Body: body, Deadline: requestDeadline}
}

// configuration returns a configuration as the operator publishes it.
func configuration(version int, tenants []tenant) ([]byte, error) {
	customers := make([]map[string]any, 0, 1+len(tenants))
	for _, t := range append([]tenant{defaultTenant}, tenants...) {
		customers = append(customers, map[string]any{"name": t.name, "apiKeys": []string{t.key}, "priority": 1, "ratePerS": t.ratePerSecond, "burst": t.burst})
	}
	route := func(name, kind, prefix, service string, priority int) map[string]any {
		return map[string]any{
			"name": name, "routeType": kind, "targetLatency": "1200ms", "priority": priority, "anonymous": false,
			"match":  map[string]any{"pathPrefix": prefix},
			"action": map[string]any{"service": service, "timeout": "5000ms", "maxAttempts": 2},
		}
	}
	cluster := func(name string, connections int) map[string]any {
		return map[string]any{
			"name": name, "healthPath": "/health", "maxConnections": connections, "protocol": "h1", "tls": false,
			"warmup": "3s", "warmupPerS": float64(warmupRate),
		}
	}
	return json.Marshal(map[string]any{
		"version": version,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"tenants": customers,
		"listeners": []map[string]any{
			{"host": boardHost, "rules": []any{route("r-view", "idempotent", viewPath, boardService, 2)}},
			{"host": deskHost, "rules": []any{route("r-book", "non_idempotent", bookPath, deskService, 0)}},
		},
		"clusters": []map[string]any{cluster(boardService, 1672), cluster(deskService, 2200)},
	})
}
