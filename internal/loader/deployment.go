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
	maxIPOctet        = 254
	readyPollInterval = 10 * time.Millisecond
	readyTimeout      = 30 * time.Second
	watchInterval     = 200 * time.Millisecond
)

type (
	// deployment runs nodes in this process with emulated backend servers and
	// an emulated log service.
	deployment struct {
		scenario *Scenario
		recorder *recorder.Recorder
		network  *network
		log      *emulator.LogService
		running  *emulator.RunningServer

		mu            sync.Mutex
		instances     []*instance
		manifest      *parser.Manifest
		configVersion uint64
	}

	// instance is an emulated backend server with its node.
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

// startDeployment starts the log service and all instances, publishes the
// manifest, and waits until each node knows all other nodes.
func startDeployment(ctx context.Context, s *Scenario, policy string, seed uint64, r *recorder.Recorder) (d *deployment, err error) {
	defer func() { err = errors.Wrap(err, "start nodes") }()
	d = &deployment{scenario: s, recorder: r, network: newNetwork(s.NetworkDelay.BetweenDomains.Std()), log: emulator.NewLogService()}
	if d.running, err = d.log.Start(loopbackAddress(0)); err != nil {
		return nil, err
	}
	manifest, err := s.manifest(policy)
	if err == nil {
		err = d.publish(manifest)
	}
	for i := range s.Services {
		for j := range s.Services[i].ServerCount {
			if err == nil {
				err = d.addInstance(&s.Services[i], j, seed)
			}
		}
	}
	if err == nil {
		err = d.waitReady(ctx)
	}
	if err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

// addInstance starts one instance of a service.
func (d *deployment) addInstance(v *Service, number int, seed uint64) error {
	name := serverName(v.Name, number)
	domain := d.scenario.Domains[number%len(d.scenario.Domains)]
	config := emulator.BackendConfig{
		Name: name, Service: v.Name, Domain: domain, Address: loopbackAddress(len(d.instances) + 1),
		Slots: v.Slots, MaxConnections: v.MaxConnections,
		MedianServiceTime: v.MedianServiceTime.Std(), ServiceTimeLogStdDev: v.ServiceTimeLogStdDev,
		ColdSlots: v.ColdStart.Slots, ColdSlowdown: v.ColdStart.Slowdown, WarmupTime: v.ColdStart.WarmupTime.Std(),
		StartWarm: true, RestartDelay: defaultRestartDelay.Std(), AnswerBytes: v.AnswerBytes, MaxRetries: v.MaxRetries,
		Seed: seed*uint64(maxServersPerService) + uint64(len(d.instances)), Recorder: d.recorder,
	}
	for _, c := range v.DownstreamCalls {
		config.DownstreamCalls = append(config.DownstreamCalls, emulator.DownstreamCall{Service: c.Service, Method: c.Method, Path: c.Path, OnPath: c.OnPath})
	}
	backend, err := emulator.StartBackendServer(config)
	if err != nil {
		return err
	}
	address := loopbackAddress(len(d.instances) + 1)
	i := &instance{name: name, service: v.Name, domain: domain, backend: backend, settings: parser.Settings{
		Name: name, Service: v.Name, Domain: domain,
		CallerAddress: address, EgressAddress: address, PeerAddress: address, AdminAddress: address,
		BackendURL: backend.URL(), LogURL: d.running.URL(), LogLevel: "error",
	}}
	i.settings.SetDefaults()
	d.instances = append(d.instances, i)
	return d.startNode(i)
}

// callerAddresses returns the names of the nodes with their addresses for
// callers.
func (d *deployment) callerAddresses() (all []nodeAddress) {
	for _, i := range d.instances {
		all = append(all, nodeAddress{i.name, i.settings.CallerAddress})
	}
	return all
}

// appendChange appends a configuration change to the log and records that it
// was accepted.
func (d *deployment) appendChange(record folder.Record) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	record.BaseVersion = d.configVersion
	data, err := folder.Encode(record)
	if err != nil {
		return err
	}
	d.configVersion, err = d.log.MemoryLog().Append(context.Background(), data)
	d.recorder.RecordEvent(recorder.Event{Kind: recorder.EventConfigAccepted, At: time.Now(), ConfigVersion: d.configVersion})
	return err
}

func (d *deployment) close() {
	var group sync.WaitGroup
	for _, i := range d.instances {
		group.Go(func() { _ = i.stopNode() })
	}
	group.Wait()
	for _, i := range d.instances {
		_ = i.backend.Close()
	}
	_ = d.running.Close()
}

// setOutOfService takes a failure domain or a backend server out of service or
// puts it back into service.
func (d *deployment) setOutOfService(kind folder.Kind, name string, outOfService bool) error {
	record := folder.NewRecord(kind)
	record.OutOfServiceChange = &folder.OutOfServiceChange{Name: name, OutOfService: outOfService}
	return d.appendChange(record)
}

// publish records the rate limits of a manifest and appends it to the log.
func (d *deployment) publish(m *parser.Manifest) error {
	record := folder.NewRecord(folder.KindManifest)
	record.Manifest = m
	d.manifest = m
	for _, c := range m.Customers {
		d.recorder.RecordEvent(recorder.Event{
			Kind: recorder.EventRateLimitSet, At: time.Now(), Name: c.Name, RatePerSecond: c.RatePerSecond, BurstRequests: c.BurstRequests,
		})
	}
	return d.appendChange(record)
}

// waitReady waits until every node has applied every record of the log.
func (d *deployment) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	records := uint64(len(d.instances)) + 1
	for {
		tail := d.log.MemoryLog().Tail()
		ready := tail >= records
		for _, i := range d.instances {
			status := i.node.Status()
			ready = ready && status.Ready && status.LogOffset >= tail
		}
		if ready {
			return nil
		}
		if !timekeeper.Sleep(ctx, readyPollInterval) {
			return errors.Newf("nodes are not ready within %s", readyTimeout)
		}
	}
}

// startNode creates the node of an instance and runs it.
func (d *deployment) startNode(i *instance) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	node, err := flamingotack.New(i.settings, flamingotack.Dependencies{
		Logger:   logger.New(io.Discard, i.settings.LogLevel, i.name),
		WrapConn: d.network.wrapper(i.domain),
	})
	if err != nil {
		return err
	}
	i.node = node
	i.settings = node.Settings()
	i.backend.SetEgressAddress(i.settings.EgressAddress)
	d.network.setDomain(i.settings.PeerAddress, i.domain)
	ctx, stop := context.WithCancel(context.Background())
	i.stop, i.done = stop, make(chan error, 1)
	done := i.done
	go func() { done <- node.Run(ctx) }()
	d.recordEvent(recorder.EventNodeStarted, i.name)
	return nil
}

// recordVersionsInForce records at regular intervals the configuration version
// that each node has in force, until ctx ends.
func (d *deployment) recordVersionsInForce(ctx context.Context) {
	for timekeeper.Sleep(ctx, watchInterval) {
		for _, i := range d.instances {
			i.mu.Lock()
			node, stopped := i.node, i.stop == nil
			i.mu.Unlock()
			if stopped {
				continue
			}
			d.recorder.RecordEvent(recorder.Event{
				Kind: recorder.EventConfigInForce, At: time.Now(), Name: i.name, ConfigVersion: node.Status().ConfigVersion,
			})
		}
	}
}

func (d *deployment) recordEvent(o recorder.EventKind, name string) {
	d.recorder.RecordEvent(recorder.Event{Kind: o, At: time.Now(), Name: name})
}

// stopNode shuts the node down and waits until it has stopped.
func (i *instance) stopNode() error {
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

// loopbackAddress returns a loopback address with port 0 for one instance of
// this process. Each instance has its own IP address, so that connections do
// not run out of ports, even if another process does the same.
func loopbackAddress(number int) string {
	process := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:0", 1+(process>>8)%maxIPOctet, process%maxIPOctet, 1+number%maxIPOctet)
}

func serverName(service string, number int) string {
	return fmt.Sprintf("%s-%d", service, number+1)
}

// peerAddress returns the address for other nodes.
func (i *instance) peerAddress() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.settings.PeerAddress
}
