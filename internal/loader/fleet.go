package loader

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack"
	"github.com/flamingotack/flamingotack/internal/emulator"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/recorder"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	maxOctet     = 254
	pollInterval = 10 * time.Millisecond
	readyTimeout = 30 * time.Second
	watchPause   = 200 * time.Millisecond
)

type (
	// fleet is a set of nodes in this process with stand-ins.
	fleet struct {
		scenario *Scenario
		recorder *recorder.Recorder
		links    *links
		log      *emulator.LogService
		running  *emulator.Running

		mu        sync.Mutex
		instances []*instance
		manifest  *parser.Manifest
		version   uint64
	}

	// instance is a backend server with its node.
	instance struct {
		name, service, domain string
		backend               *emulator.BackendServer

		mu       sync.Mutex
		settings parser.Settings
		node     *flamingotack.Node
		stop     context.CancelFunc
		done     chan error
	}
)

// startFleet starts the log, the manifest and all instances, and waits until
// each node knows each other one.
func startFleet(ctx context.Context, s *Scenario, policy string, seed uint64, r *recorder.Recorder) (f *fleet, err error) {
	defer func() { err = errors.Wrap(err, "start nodes") }()
	f = &fleet{scenario: s, recorder: r, links: newLinks(s.Delay.Domains.Std()), log: emulator.NewLogService()}
	if f.running, err = f.log.Start(anyPort(0)); err != nil {
		return nil, err
	}
	manifest, err := s.manifest(policy)
	if err == nil {
		err = f.publish(manifest)
	}
	for i := range s.Services {
		for j := range s.Services[i].Servers {
			if err == nil {
				err = f.add(&s.Services[i], j, seed)
			}
		}
	}
	if err == nil {
		err = f.ready(ctx)
	}
	if err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// add starts one instance of a service.
func (f *fleet) add(v *Service, number int, seed uint64) error {
	name := serverName(v.Name, number)
	domain := f.scenario.Domains[number%len(f.scenario.Domains)]
	config := emulator.BackendConfig{
		Name: name, Service: v.Name, Domain: domain, Address: anyPort(len(f.instances) + 1),
		Slots: v.Slots, Connections: v.Connections,
		Time: v.Time.Std(), Spread: v.Spread,
		ColdSlots: v.Cold.Slots, ColdFactor: v.Cold.Factor, WarmUp: v.Cold.Warmup.Std(),
		StartWarm: true, Restart: defaultRestart.Std(), Answer: v.Answer, Retries: v.Retries,
		Seed: seed*uint64(maxServers) + uint64(len(f.instances)), Recorder: f.recorder,
	}
	for _, c := range v.Calls {
		config.Calls = append(config.Calls, emulator.Downstream{Service: c.Service, Method: c.Method, Path: c.Path, On: c.On})
	}
	backend, err := emulator.StartBackendServer(config)
	if err != nil {
		return err
	}
	port := anyPort(len(f.instances) + 1)
	i := &instance{name: name, service: v.Name, domain: domain, backend: backend, settings: parser.Settings{
		Name: name, Service: v.Name, Domain: domain,
		Caller: port, Egress: port, Peer: port, Admin: port,
		Backend: backend.URL(), Log: f.running.URL(), Level: "error",
	}}
	i.settings.Fill()
	f.instances = append(f.instances, i)
	return f.start(i)
}

// callers returns the addresses for callers with the nodes' names.
func (f *fleet) callers() (all []address) {
	for _, i := range f.instances {
		all = append(all, address{i.name, i.settings.Caller})
	}
	return all
}

// change appends a change of the configuration and records that it was
// accepted.
func (f *fleet) change(record folder.Record) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	record.Base = f.version
	data, err := folder.Encode(record)
	if err != nil {
		return err
	}
	f.version, err = f.log.Memory().Append(context.Background(), data)
	f.recorder.RecordEvent(recorder.Event{Kind: recorder.EventConfigAccepted, At: time.Now(), ConfigVersion: f.version})
	return err
}

func (f *fleet) close() {
	var group sync.WaitGroup
	for _, i := range f.instances {
		group.Go(func() { _ = i.halt() })
	}
	group.Wait()
	for _, i := range f.instances {
		_ = i.backend.Close()
	}
	_ = f.running.Close()
}

// outage takes a failure domain or a backend server out or brings it back.
func (f *fleet) outage(kind folder.Kind, name string, out bool) error {
	record := folder.NewRecord(kind)
	record.Outage = &folder.Outage{Name: name, Out: out}
	return f.change(record)
}

// publish makes a manifest the configuration.
func (f *fleet) publish(m *parser.Manifest) error {
	record := folder.NewRecord(folder.KindManifest)
	record.Manifest = m
	f.manifest = m
	for _, c := range m.Customers {
		f.recorder.RecordEvent(recorder.Event{
			Kind: recorder.EventRateLimitSet, At: time.Now(), Name: c.Name, RatePerSecond: c.Rate, BurstRequests: c.Burst,
		})
	}
	return f.change(record)
}

// ready waits until every node has folded every record.
func (f *fleet) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	records := uint64(len(f.instances)) + 1
	for {
		tail := f.log.Memory().Tail()
		ready := tail >= records
		for _, i := range f.instances {
			status := i.node.Status()
			ready = ready && status.Ready && status.Offset >= tail
		}
		if ready {
			return nil
		}
		if !timekeeper.Sleep(ctx, pollInterval) {
			return errors.New("nodes did not get ready in time")
		}
	}
}

// start runs the node of an instance.
func (f *fleet) start(i *instance) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	node, err := flamingotack.New(i.settings, flamingotack.Edges{
		Logger: logger.New(io.Discard, i.settings.Level, i.name),
		Wrap:   f.links.wrap(i.domain),
	})
	if err != nil {
		return err
	}
	i.node = node
	i.settings = node.Settings()
	i.backend.SetEgress(i.settings.Egress)
	f.links.place(i.settings.Peer, i.domain)
	ctx, stop := context.WithCancel(context.Background())
	i.stop, i.done = stop, make(chan error, 1)
	done := i.done
	go func() { done <- node.Run(ctx) }()
	f.event(recorder.EventNodeStarted, i.name)
	return nil
}

// watch records which configuration each node has in force, until ctx ends.
func (f *fleet) watch(ctx context.Context) {
	for timekeeper.Sleep(ctx, watchPause) {
		for _, i := range f.instances {
			i.mu.Lock()
			node, stopped := i.node, i.stop == nil
			i.mu.Unlock()
			if stopped {
				continue
			}
			f.recorder.RecordEvent(recorder.Event{
				Kind: recorder.EventConfigInForce, At: time.Now(), Name: i.name, ConfigVersion: node.Status().Version,
			})
		}
	}
}

func (f *fleet) event(o recorder.EventKind, name string) {
	f.recorder.RecordEvent(recorder.Event{Kind: o, At: time.Now(), Name: name})
}

// halt stops the node as planned and waits for its end.
func (i *instance) halt() error {
	i.mu.Lock()
	stop, done := i.stop, i.done
	i.stop = nil
	i.mu.Unlock()
	if stop == nil {
		return nil
	}
	stop()
	return <-done
}

// anyPort returns an address with a loopback IP number for one instance of
// this process. Connections to many addresses do not run out of ports, also
// not beside another process that does the same.
func anyPort(number int) string {
	process := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:0", 1+(process>>8)%maxOctet, process%maxOctet, 1+number%maxOctet)
}

func serverName(service string, number int) string {
	return fmt.Sprintf("%s-%d", service, number+1)
}

// peer returns the address for other nodes.
func (i *instance) peer() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.settings.Peer
}
