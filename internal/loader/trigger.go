package loader

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/emulator"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/recorder"
	"github.com/flamingotack/flamingotack/internal/relayer"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

// boastFactor is how many times too many slots a lying server claims.
const boastFactor = 10

// trigger brings about the events of a scenario.
type trigger struct {
	fleet *fleet
	load  *load
}

// run brings about all events; begin is the end of the warm-up.
func (t *trigger) run(ctx context.Context, begin time.Time) error {
	var group sync.WaitGroup
	failed := make([]error, len(t.load.scenario.Events))
	for i, e := range t.load.scenario.Events {
		group.Go(func() { failed[i] = t.event(ctx, begin, e, i) })
	}
	group.Wait()
	return errors.Join(failed...)
}

func (t *trigger) event(ctx context.Context, begin time.Time, e Event, number int) (err error) {
	defer func() { err = errors.Wrapf(err, "event %d (%s)", number, e.Kind) }()
	if !timekeeper.Sleep(ctx, time.Until(begin.Add(e.At.Std()))) {
		return nil
	}
	if err := t.begin(ctx, e, number); err != nil {
		return err
	}
	timekeeper.Sleep(ctx, time.Until(begin.Add((e.At + e.For).Std())))
	return t.end(e)
}

func (t *trigger) begin(ctx context.Context, e Event, number int) error {
	switch e.Kind {
	case EventSurge:
		t.load.surge(e.Customer, e.Factor)
	case EventPoison:
		go t.load.poison(ctx, e, number)
	case EventDomain:
		t.fleet.event(recorder.EventDomainOutOfService, e.Domain)
		return t.fleet.outage(folder.KindDomain, e.Domain, true)
	case EventLog:
		t.fleet.event(recorder.EventFaultStart, "log")
		t.fleet.log.SetOutage(emulator.OutageHang)
	case EventLost:
		t.fleet.log.LoseAnswers(int(e.Factor))
	case EventWithdraw:
		return t.withdraw(e.Customer)
	default:
		return t.beginInstances(e)
	}
	return nil
}

func (t *trigger) beginInstances(e Event) (err error) {
	for _, i := range t.fleet.pick(e) {
		name := i.name
		switch e.Kind {
		case EventCold:
			i.backend.TurnCold()
		case EventCrash:
			i.backend.Crash()
		case EventFail:
			i.backend.SetFailing(e.Factor)
		case EventLie:
			i.backend.SetLie(boast)
		case EventSilent:
			t.fleet.links.silence(i.peer())
		case EventSlow:
			i.backend.SetSlow(e.Factor)
		case EventServer:
			t.fleet.event(recorder.EventServerOutOfService, name)
			err = errors.Join(err, t.fleet.outage(folder.KindServer, name, true))
		case EventStop:
			t.fleet.event(recorder.EventNodeStopRequested, name)
			err = errors.Join(err, i.halt())
			t.fleet.event(recorder.EventNodeStopped, name)
		}
	}
	return err
}

func (t *trigger) end(e Event) error {
	switch e.Kind {
	case EventSurge:
		t.load.surge(e.Customer, 1)
	case EventDomain:
		t.fleet.event(recorder.EventDomainInService, e.Domain)
		return t.fleet.outage(folder.KindDomain, e.Domain, false)
	case EventLog:
		t.fleet.log.SetOutage(emulator.OutageNone)
		t.fleet.event(recorder.EventFaultEnd, "log")
	case EventWithdraw:
		return t.issue(e.Customer)
	default:
		return t.endInstances(e)
	}
	return nil
}

func (t *trigger) endInstances(e Event) (err error) {
	for _, i := range t.fleet.pick(e) {
		switch e.Kind {
		case EventFail:
			i.backend.SetFailing(0)
		case EventLie:
			i.backend.SetLie(nil)
		case EventSlow:
			i.backend.SetSlow(1)
		case EventServer:
			t.fleet.event(recorder.EventServerInService, i.name)
			err = errors.Join(err, t.fleet.outage(folder.KindServer, i.name, false))
		case EventStop:
			err = errors.Join(err, t.fleet.start(i))
		}
	}
	return err
}

// issue gives a customer its key back.
func (t *trigger) issue(customer string) error {
	t.fleet.event(recorder.EventKeyIssued, customer)
	m, err := t.load.scenario.manifest(t.load.policy)
	if err != nil {
		return err
	}
	return t.fleet.republish(m)
}

// withdraw takes a customer's key away.
func (t *trigger) withdraw(customer string) error {
	m, err := parser.CloneManifest(t.fleet.manifest)
	if err != nil {
		return err
	}
	for i := range m.Customers {
		if m.Customers[i].Name == customer {
			m.Customers[i].Keys = nil
		}
	}
	err = t.fleet.republish(m)
	t.fleet.event(recorder.EventKeyWithdrawn, customer)
	return err
}

// boast tells of an idle and warm server with many slots.
func boast(h relayer.Health) relayer.Health {
	return relayer.Health{Ready: true, Slots: boastFactor * max(1, h.Slots)}
}

// pick returns the instances that an event hits.
func (f *fleet) pick(e Event) (hit []*instance) {
	for _, i := range f.instances {
		others := []bool{
			e.Service != "" && e.Service != i.service,
			e.Server != "" && e.Server != i.name,
			e.Domain != "" && e.Domain != i.domain,
		}
		if !slices.Contains(others, true) {
			hit = append(hit, i)
		}
	}
	return hit
}

// republish makes a manifest with the same limits the configuration.
func (f *fleet) republish(m *parser.Manifest) error {
	record := folder.NewRecord(folder.KindManifest)
	record.Manifest = m
	f.manifest = m
	return f.change(record)
}
