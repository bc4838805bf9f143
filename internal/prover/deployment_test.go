package prover

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack"
	"github.com/flamingotack/flamingotack/internal/checker"
	"github.com/flamingotack/flamingotack/internal/emulator"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

const (
	stepTimeout    = time.Minute
	stopTimeout    = 45 * time.Second
	statusInterval = 20 * time.Millisecond
	callTimeout    = 8 * time.Second
	serverSeed     = 7
)

type (
	// deployment is a set of real node processes with emulated backend servers
	// and an emulated log service in the test process.
	deployment struct {
		t          *testing.T
		client     *http.Client
		logService *emulator.LogService
		logURL     string
		network    *network
		nodes      []*node
		recorder   *recorder.Recorder
	}

	// node is a node process and its backend server.
	node struct {
		deployment *deployment
		settings   parser.Settings
		ip         netip.Addr
		backend    *emulator.BackendServer
		// logProxy is between the node and the log, backendProxy between the
		// node and its backend server.
		logProxy     *faultProxy
		backendProxy *faultProxy
		peerProxy    *peerProxy
		process      *exec.Cmd
		exited       chan struct{}
		output       processOutput
		status       atomic.Pointer[flamingotack.Status]
	}

	// processOutput stores the log of a process. It is safe for concurrent use.
	processOutput struct {
		mu   sync.Mutex
		text strings.Builder
	}
)

// newDeployment starts a log service that contains a manifest. It starts no
// nodes.
func newDeployment(t *testing.T, manifest string) *deployment {
	t.Helper()
	d := &deployment{
		t:          t,
		client:     &http.Client{Transport: closeTracker{&http.Transport{MaxIdleConnsPerHost: 64}, &sync.Map{}}},
		logService: emulator.NewLogService(),
		network:    newNetwork(),
		recorder:   recorder.New(),
	}
	running, err := d.logService.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { running.Close() })
	t.Cleanup(d.client.CloseIdleConnections)
	d.logURL = running.URL()
	d.publish(manifest)
	return d
}

// startNode starts a node and its backend server. change adjusts the backend
// server's configuration; nil keeps the default.
func (d *deployment) startNode(name, service, domain string, change func(*emulator.BackendConfig)) *node {
	d.t.Helper()
	n := d.prepareNode(name, service, domain, change)
	n.start()
	return n
}

// prepareNode starts a backend server and the proxies of its node, but not the
// node's process.
func (d *deployment) prepareNode(name, service, domain string, change func(*emulator.BackendConfig)) *node {
	d.t.Helper()
	c := emulator.BackendConfig{
		Name:              name,
		Service:           service,
		Domain:            domain,
		Slots:             20,
		MedianServiceTime: 2 * time.Millisecond,
		StartWarm:         true,
		Seed:              serverSeed,
		Recorder:          d.recorder,
	}
	if change != nil {
		change(&c)
	}
	backend, err := emulator.StartBackendServer(c)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { backend.Close() })
	n := &node{
		deployment:   d,
		ip:           netip.MustParseAddr(fmt.Sprintf("127.0.1.%d", len(d.nodes)+1)),
		backend:      backend,
		logProxy:     newFaultProxy(d.t, name+"-log", d.logURL),
		backendProxy: newFaultProxy(d.t, name+"-backend", backend.URL()),
	}
	n.setStatus(flamingotack.Status{})
	n.peerProxy = d.network.openPeerProxy(d.t, n.ip)
	free := netip.AddrPortFrom(n.ip, 0).String()
	n.settings = parser.Settings{
		Name:                 name,
		Service:              service,
		Domain:               domain,
		CallerAddress:        free,
		EgressAddress:        free,
		PeerAddress:          free,
		AdminAddress:         free,
		AnnouncedPeerAddress: n.peerProxy.address,
		BackendURL:           n.backendProxy.url(),
		LogURL:               n.logProxy.url(),
		LogLevel:             "info",
	}
	for _, other := range d.nodes {
		n.settings.FallbackPeers = append(n.settings.FallbackPeers, other.peerProxy.address)
	}
	d.nodes = append(d.nodes, n)
	return n
}

// start starts the process. It does not wait until the node listens.
func (n *node) start() {
	t := n.deployment.t
	t.Helper()
	file := filepath.Join(t.TempDir(), n.settings.Name+".jsonc")
	data, err := json.Marshal(n.settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	n.process = exec.Command(os.Args[0], "--settings", file)
	n.process.Env = append(os.Environ(), nodeModeVariable+"=1")
	n.process.Stderr = &n.output
	if err := n.process.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan struct{})
	process := n.process
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	n.exited = exited
	n.deployment.recordEvent(recorder.EventNodeStarted, n.settings.Name)
	t.Cleanup(func() { n.cleanUp(process, exited) })
}

// cleanUp kills the process if it still runs, and prints its log if the test
// failed.
func (n *node) cleanUp(process *exec.Cmd, exited chan struct{}) {
	select {
	case <-exited:
	default:
		_ = process.Process.Signal(syscall.SIGCONT)
		_ = process.Process.Kill()
		<-exited
	}
	if n.deployment.t.Failed() {
		n.deployment.t.Logf("log of %s:\n%s", n.settings.Name, n.output.String())
	}
}

// kill sends SIGKILL and waits until the process has ended.
func (n *node) kill() {
	_ = n.process.Process.Kill()
	<-n.exited
}

// pause suspends the process until resume.
func (n *node) pause() {
	n.signal(syscall.SIGSTOP)
}

// restart starts the process again with the same addresses.
func (n *node) restart() {
	n.settings.CallerAddress = n.lastStatus().Addresses.Caller
	n.settings.EgressAddress = n.lastStatus().Addresses.Egress
	n.settings.PeerAddress = n.lastStatus().Addresses.Peer
	n.settings.AdminAddress = n.lastStatus().Addresses.Admin
	n.start()
}

// setIsolated cuts the node's connections to the log and to every other node, or
// restores them.
func (n *node) setIsolated(isolated bool) {
	n.logProxy.setEnabled(!isolated)
	for _, other := range n.deployment.nodes {
		if other != n {
			n.deployment.network.setPartitioned(n.ip, other.ip, isolated)
		}
	}
}

// setStatus stores a status of the node.
func (n *node) setStatus(s flamingotack.Status) {
	n.status.Store(&s)
}

// lastStatus returns the status that was stored last.
func (n *node) lastStatus() *flamingotack.Status {
	return n.status.Load()
}

// resume continues the process after pause.
func (n *node) resume() {
	n.signal(syscall.SIGCONT)
}

func (n *node) signal(s syscall.Signal) {
	n.deployment.t.Helper()
	if err := n.process.Process.Signal(s); err != nil {
		n.deployment.t.Fatal(err)
	}
}

// stopGracefully sends SIGTERM, waits until the process has ended and returns
// its exit code.
func (n *node) stopGracefully() int {
	n.deployment.t.Helper()
	n.deployment.recordEvent(recorder.EventNodeStopRequested, n.settings.Name)
	n.signal(syscall.SIGTERM)
	select {
	case <-n.exited:
	case <-time.After(stopTimeout):
		n.deployment.t.Fatalf("%s did not stop within %s", n.settings.Name, stopTimeout)
	}
	n.deployment.recordEvent(recorder.EventNodeStopped, n.settings.Name)
	return n.process.ProcessState.ExitCode()
}

// members returns the members in the state of the log.
func (d *deployment) members() []folder.Member {
	return d.state().Members
}

// state returns the state that the records of the log fold to.
func (d *deployment) state() *folder.State {
	d.t.Helper()
	s := &folder.State{}
	for _, e := range d.logEntries() {
		r, err := folder.Decode(e.Data)
		if err != nil {
			s = s.Skip(e.Offset)
			continue
		}
		s, _ = s.Fold(e.Offset, r)
	}
	return s
}

// append appends a record directly to the log's memory. A configuration
// change without a base version gets the current one.
func (d *deployment) append(r folder.Record) (version uint64) {
	d.t.Helper()
	if r.IsConfigChange() && r.BaseVersion == 0 {
		r.BaseVersion = d.state().ConfigVersion
	}
	data, err := folder.Encode(r)
	if err != nil {
		d.t.Fatal(err)
	}
	version, err = d.logService.MemoryLog().Append(context.Background(), data)
	if err != nil {
		d.t.Fatal(err)
	}
	if r.IsConfigChange() {
		d.recorder.RecordEvent(recorder.Event{Kind: recorder.EventConfigAccepted, At: time.Now(), ConfigVersion: version})
	}
	return version
}

// recordEvent records an event at the current time.
func (d *deployment) recordEvent(kind recorder.EventKind, name string) {
	d.recorder.RecordEvent(recorder.Event{Kind: kind, At: time.Now(), Name: name})
}

func (d *deployment) publish(manifest string) (version uint64) {
	d.t.Helper()
	m, err := parser.ParseManifest("manifest", []byte(manifest))
	if err != nil {
		d.t.Fatal(err)
	}
	r := folder.NewRecord(folder.KindManifest)
	r.Manifest = m
	version = d.append(r)
	for _, c := range m.Customers {
		d.recorder.RecordEvent(recorder.Event{
			Kind:          recorder.EventRateLimitSet,
			At:            time.Now(),
			Name:          c.Name,
			RatePerSecond: c.RatePerSecond,
			BurstRequests: c.BurstRequests,
		})
	}
	return version
}

// verifyGuarantees checks every guarantee against the recorded history.
func (d *deployment) verifyGuarantees() {
	d.t.Helper()
	for _, b := range checker.Verify(d.recorder.History(), checker.DefaultBounds()) {
		d.t.Errorf("violated guarantee: %s", b)
	}
}

// setOutOfService takes a failure domain or a backend server out of service or
// back into service.
func (d *deployment) setOutOfService(kind folder.Kind, name string, out bool) (version uint64) {
	d.t.Helper()
	r := folder.NewRecord(kind)
	r.OutOfServiceChange = &folder.OutOfServiceChange{Name: name, OutOfService: out}
	version = d.append(r)
	eventKinds := map[bool]recorder.EventKind{true: recorder.EventDomainOutOfService, false: recorder.EventDomainInService}
	if kind == folder.KindServer {
		eventKinds = map[bool]recorder.EventKind{true: recorder.EventServerOutOfService, false: recorder.EventServerInService}
	}
	d.recordEvent(eventKinds[out], name)
	return version
}

// waitReady waits until every node is ready and knows every other.
func (d *deployment) waitReady() {
	d.t.Helper()
	d.waitUntil("all nodes have joined", func() bool { return len(d.members()) == len(d.nodes) })
	for _, n := range d.nodes {
		n.waitForAddresses()
	}
	d.waitUntil("all nodes know each other", func() bool {
		view := d.state().ViewOffset
		for _, n := range d.nodes {
			if !n.refreshStatus() || !n.lastStatus().Ready || n.lastStatus().ViewOffset < view {
				return false
			}
		}
		return true
	})
}

// waitForAddresses waits until a new process answers at the admin address in the
// log, and points the backend server and the peer proxy to its addresses.
func (n *node) waitForAddresses() {
	n.deployment.t.Helper()
	n.deployment.waitUntil(n.settings.Name+" answers at its addresses", func() bool {
		for _, m := range n.deployment.members() {
			if m.Name == n.settings.Name {
				status := *n.lastStatus()
				status.Addresses.Admin = m.AdminAddress
				n.setStatus(status)
			}
		}
		return n.refreshStatus()
	})
	n.peerProxy.setUpstream(n.lastStatus().Addresses.Peer)
	n.backend.SetEgressAddress(n.lastStatus().Addresses.Egress)
}

// refreshStatus reads and records the node's status. It returns false if the
// node does not answer within one second.
func (n *node) refreshStatus() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.lastStatus().Addresses.Admin+"/status", http.NoBody)
	if err != nil {
		return false
	}
	response, err := n.deployment.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var status flamingotack.Status
	if json.NewDecoder(response.Body).Decode(&status) != nil {
		return false
	}
	n.setStatus(status)
	n.deployment.recorder.RecordEvent(recorder.Event{
		Kind:          recorder.EventConfigInForce,
		At:            time.Now(),
		Name:          n.settings.Name,
		ConfigVersion: status.ConfigVersion,
	})
	return true
}

// waitInForce waits until the nodes have a version in force.
func (d *deployment) waitInForce(version uint64, nodes ...*node) {
	d.t.Helper()
	d.waitUntil(fmt.Sprintf("version %d is in force", version), func() bool {
		for _, n := range nodes {
			if !n.refreshStatus() || n.lastStatus().ConfigVersion < version {
				return false
			}
		}
		return true
	})
}

func (d *deployment) waitUntil(condition string, done func() bool) {
	d.t.Helper()
	deadline := time.Now().Add(stepTimeout)
	for !done() {
		if time.Now().After(deadline) {
			d.t.Fatalf("not fulfilled within %s: %s", stepTimeout, condition)
		}
		time.Sleep(statusInterval)
	}
}

// Write appends to the stored log.
func (o *processOutput) Write(p []byte) (n int, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// String returns the log written so far.
func (o *processOutput) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// newStandardDeployment returns a ready deployment of two services in two
// failure domains.
func newStandardDeployment(t *testing.T, customers ...customer) *deployment {
	t.Helper()
	d := newDeployment(t, manifestWith(customers...))
	for _, c := range customers {
		if c.key != "" {
			d.recorder.AddSecret(c.key)
		}
	}
	d.startNode("slotboard-1", "slotboard", "ahmedabad", nil)
	d.startNode("slotboard-2", "slotboard", "rajkot", nil)
	d.startNode("bookdesk-1", "bookdesk", "ahmedabad", nil)
	d.startNode("bookdesk-2", "bookdesk", "rajkot", nil)
	d.waitReady()
	return d
}

// nodeByName returns the node of that name. It panics if there is none.
func (d *deployment) nodeByName(name string) *node {
	for _, n := range d.nodes {
		if n.settings.Name == name {
			return n
		}
	}
	panic("the deployment has no node " + name)
}
