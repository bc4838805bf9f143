// Package demonstrator runs a small fleet in one process and shows what it
// does under overload.
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
	anyPort       = "127.0.0.1:0"
	serverSlots   = 8
	serverSpread  = 0.3
	serverTime    = 8 * time.Millisecond
	shutdownGrace = parser.Duration(2 * time.Second)
)

type (
	// Fleet is the stand-ins and the nodes of a demonstration.
	Fleet struct {
		// Log stands in for the platform's log service.
		LogService *emulator.LogService
		// LogURL is where it listens.
		LogURL string
		// Recorder keeps what callers sent and backend servers ran.
		Recorder *recorder.Recorder
		// Places are the backend servers with their nodes.
		Instances []Instance

		closers []io.Closer
	}

	// Place is a backend server and the node beside it.
	Instance struct {
		// Server stands in for the backend server.
		BackendServer *emulator.BackendServer
		// Node is the node beside it.
		Node *flamingotack.Node
		// Settings are those of the node, with the addresses it listens on.
		Settings parser.Settings
	}

	// role tells what a place is for.
	role struct {
		name, service, domain string
		calls                 []emulator.Downstream
	}
)

// roles are the places of the demonstration: a booking looks up its slot.
func roles() []role {
	lookUp := []emulator.Downstream{{Service: "slotboard", Method: "GET", Path: "/slots/7"}}
	return []role{
		{"slotboard-1", "slotboard", "ahmedabad", nil},
		{"slotboard-2", "slotboard", "rajkot", nil},
		{"bookdesk-1", "bookdesk", "vadodara", lookUp},
	}
}

// NewFleet returns a Fleet whose stand-ins run. Its nodes write their log lines
// from that level on to lines. Close ends the stand-ins.
func NewFleet(lines io.Writer, level string) (f *Fleet, err error) {
	defer func() { err = errors.Wrap(err, "set up demonstration") }()
	f = &Fleet{LogService: emulator.NewLogService(), Recorder: recorder.New()}
	running, err := f.LogService.Start(anyPort)
	if err != nil {
		return nil, err
	}
	f.closers = append(f.closers, running)
	f.LogURL = running.URL()
	for _, r := range roles() {
		if err := f.add(r, lines, level); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// Close ends the stand-ins.
func (f *Fleet) Close() {
	for _, c := range f.closers {
		_ = c.Close()
	}
}

// Run runs the nodes until ctx ends, then stops them gracefully.
func (f *Fleet) Run(ctx context.Context) (err error) {
	var g run.Group
	for _, p := range f.Instances {
		c, cancel := context.WithCancel(ctx)
		g.Add(func() error { return p.Node.Run(c) }, func(error) { cancel() })
	}
	return g.Run()
}

// SetSlow multiplies the work of a service's backend servers by factor.
func (f *Fleet) SetSlowdown(service string, factor float64) {
	for _, p := range f.Instances {
		if p.Settings.Service == service {
			p.BackendServer.SetSlow(factor)
		}
	}
}

func (f *Fleet) add(r role, lines io.Writer, level string) (err error) {
	server, err := emulator.StartBackendServer(emulator.BackendConfig{
		Name: r.name, Service: r.service, Domain: r.domain,
		Slots: serverSlots, Time: serverTime, Spread: serverSpread,
		Seed: uint64(len(f.Instances)), StartWarm: true, Calls: r.calls, Recorder: f.Recorder,
	})
	if err != nil {
		return err
	}
	f.closers = append(f.closers, server)
	settings := parser.Settings{
		Name: r.name, Service: r.service, Domain: r.domain, Region: "gujarat",
		Caller: anyPort, Egress: anyPort, Peer: anyPort, Admin: anyPort,
		Backend: server.URL(), Log: f.LogURL, Grace: shutdownGrace, Level: level,
	}
	settings.Fill()
	node, err := flamingotack.New(settings, flamingotack.Edges{Logger: logger.New(lines, level, r.name)})
	if err != nil {
		return err
	}
	server.SetEgress(node.Settings().Egress)
	f.Instances = append(f.Instances, Instance{BackendServer: server, Node: node, Settings: node.Settings()})
	return nil
}
