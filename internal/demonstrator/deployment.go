// Package demonstrator runs a small deployment in one process and shows how it
// behaves under overload.
package demonstrator

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/flamingotack/flamingotack"
	"github.com/flamingotack/flamingotack/internal/emulator"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

const (
	anyPort             = "127.0.0.1:0"
	serverSlots         = 8
	serverTimeLogStdDev = 0.3
	serverMedianTime    = 8 * time.Millisecond
	gracePeriod         = parser.Duration(2 * time.Second)
)

type (
	// Deployment contains the nodes and the emulated services of a demo.
	Deployment struct {
		// LogService emulates the platform's log service.
		LogService *emulator.LogService
		// LogURL is the URL of LogService.
		LogURL string
		// Recorder records calls and executions.
		Recorder *recorder.Recorder
		// Instances are the backend servers with their nodes.
		Instances []Instance

		closers []io.Closer
	}

	// Instance is a backend server and its node.
	Instance struct {
		// BackendServer is an emulated backend server.
		BackendServer *emulator.BackendServer
		// Node is the node of the backend server.
		Node *flamingotack.Node
		// Settings are the node's settings, with the addresses that it listens
		// on.
		Settings parser.Settings
	}

	// instanceSpec describes an instance to start.
	instanceSpec struct {
		name, service, domain string
		downstreamCalls       []emulator.DownstreamCall
	}
)

// instanceSpecs returns the instances of the demo. A request to bookdesk calls
// slotboard.
func instanceSpecs() []instanceSpec {
	slotLookup := []emulator.DownstreamCall{{Service: "slotboard", Method: "GET", Path: "/slots/7"}}
	return []instanceSpec{
		{"slotboard-1", "slotboard", "ahmedabad", nil},
		{"slotboard-2", "slotboard", "rajkot", nil},
		{"bookdesk-1", "bookdesk", "vadodara", slotLookup},
	}
}

// NewDeployment starts the emulated services and prepares the nodes, which start
// with Run. Nodes write log lines of at least the given level to logOutput. The
// caller must call Close.
func NewDeployment(logOutput io.Writer, level string) (d *Deployment, err error) {
	defer func() { err = errors.Wrap(err, "set up demonstration") }()
	d = &Deployment{LogService: emulator.NewLogService(), Recorder: recorder.New()}
	logServer, err := d.LogService.Start(anyPort)
	if err != nil {
		return nil, err
	}
	d.closers = append(d.closers, logServer)
	d.LogURL = logServer.URL()
	for _, s := range instanceSpecs() {
		if err := d.addInstance(s, logOutput, level); err != nil {
			d.Close()
			return nil, err
		}
	}
	return d, nil
}

// Close stops the emulated services.
func (d *Deployment) Close() {
	for _, c := range d.closers {
		_ = c.Close()
	}
}

// Run runs the nodes until ctx is canceled, then stops them gracefully. It
// returns the error of the first node that ends.
func (d *Deployment) Run(ctx context.Context) (err error) {
	var g run.Group
	for _, i := range d.Instances {
		instanceCtx, cancel := context.WithCancel(ctx)
		g.Add(func() error { return i.Node.Run(instanceCtx) }, func(error) { cancel() })
	}
	return g.Run()
}

// SetSlowdown multiplies the service time of a service's backend servers by
// factor; 1 restores it.
func (d *Deployment) SetSlowdown(service string, factor float64) {
	for _, i := range d.Instances {
		if i.Settings.Service == service {
			i.BackendServer.SetSlowdown(factor)
		}
	}
}

func (d *Deployment) addInstance(spec instanceSpec, logOutput io.Writer, level string) (err error) {
	server, err := emulator.StartBackendServer(emulator.BackendConfig{
		Name: spec.name, Service: spec.service, Domain: spec.domain,
		Slots: serverSlots, MedianServiceTime: serverMedianTime, ServiceTimeLogStdDev: serverTimeLogStdDev,
		Seed: uint64(len(d.Instances)), StartWarm: true, DownstreamCalls: spec.downstreamCalls, Recorder: d.Recorder,
	})
	if err != nil {
		return err
	}
	d.closers = append(d.closers, server)
	settings := parser.Settings{
		Name: spec.name, Service: spec.service, Domain: spec.domain, Region: "gujarat",
		CallerAddress: anyPort, EgressAddress: anyPort, PeerAddress: anyPort, AdminAddress: anyPort,
		BackendURL: server.URL(), LogURL: d.LogURL, GracePeriod: gracePeriod, LogLevel: level,
	}
	settings.SetDefaults()
	node, err := flamingotack.New(settings, flamingotack.Dependencies{Logger: logger.New(logOutput, level, spec.name)})
	if err != nil {
		return err
	}
	server.SetEgressAddress(node.Settings().EgressAddress)
	d.Instances = append(d.Instances, Instance{BackendServer: server, Node: node, Settings: node.Settings()})
	return nil
}
