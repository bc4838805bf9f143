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

// falseSlotsFactor multiplies the slots in a false health report.
const falseSlotsFactor = 10

// eventRunner runs the events of a scenario.
type eventRunner struct {
	deployment *deployment
	generator  *loadGenerator
}

// run runs all events until they have ended. begin is the end of the warm-up.
func (t *eventRunner) run(ctx context.Context, begin time.Time) error {
	var group sync.WaitGroup
	failed := make([]error, len(t.generator.scenario.Events))
	for i, e := range t.generator.scenario.Events {
		group.Go(func() { failed[i] = t.runEvent(ctx, begin, e, i) })
	}
	group.Wait()
	return errors.Join(failed...)
}

func (t *eventRunner) runEvent(ctx context.Context, begin time.Time, e Event, number int) (err error) {
	defer func() { err = errors.Wrapf(err, "event %d (%s)", number, e.Kind) }()
	if !timekeeper.Sleep(ctx, time.Until(begin.Add(e.StartOffset.Std()))) {
		return nil
	}
	if err := t.beginEvent(ctx, e, number); err != nil {
		return err
	}
	timekeeper.Sleep(ctx, time.Until(begin.Add((e.StartOffset + e.Duration).Std())))
	return t.endEvent(e)
}

func (t *eventRunner) beginEvent(ctx context.Context, e Event, number int) error {
	switch e.Kind {
	case EventSurge:
		t.generator.setSurgeFactor(e.Customer, e.Factor)
	case EventPoisonRequest:
		go t.generator.sendPoisonRequest(ctx, e, number)
	case EventDomainOutage:
		t.deployment.recordEvent(recorder.EventDomainOutOfService, e.Domain)
		return t.deployment.setOutOfService(folder.KindDomain, e.Domain, true)
	case EventLogOutage:
		t.deployment.recordEvent(recorder.EventFaultStart, "log")
		t.deployment.log.SetOutage(emulator.OutageHang)
	case EventLoseAppendAnswers:
		t.deployment.log.LoseAppendAnswers(int(e.Factor))
	case EventWithdrawKey:
		return t.withdrawKey(e.Customer)
	default:
		return t.beginOnInstances(e)
	}
	return nil
}

func (t *eventRunner) beginOnInstances(e Event) (err error) {
	for _, i := range t.deployment.affectedInstances(e) {
		name := i.name
		switch e.Kind {
		case EventCold:
			i.backend.SetCold()
		case EventCrash:
			i.backend.Crash()
		case EventFailAnswers:
			i.backend.SetFailureFraction(e.Factor)
		case EventFalseHealth:
			i.backend.SetHealthOverride(falseHealth)
		case EventSilentConnections:
			t.deployment.network.silenceConnections(i.peerAddress())
		case EventSlowdown:
			i.backend.SetSlowdown(e.Factor)
		case EventServerOutage:
			t.deployment.recordEvent(recorder.EventServerOutOfService, name)
			err = errors.Join(err, t.deployment.setOutOfService(folder.KindServer, name, true))
		case EventPlannedStop:
			t.deployment.recordEvent(recorder.EventNodeStopRequested, name)
			err = errors.Join(err, i.stopNode())
			t.deployment.recordEvent(recorder.EventNodeStopped, name)
		}
	}
	return err
}

func (t *eventRunner) endEvent(e Event) error {
	switch e.Kind {
	case EventSurge:
		t.generator.setSurgeFactor(e.Customer, 1)
	case EventDomainOutage:
		t.deployment.recordEvent(recorder.EventDomainInService, e.Domain)
		return t.deployment.setOutOfService(folder.KindDomain, e.Domain, false)
	case EventLogOutage:
		t.deployment.log.SetOutage(emulator.OutageNone)
		t.deployment.recordEvent(recorder.EventFaultEnd, "log")
	case EventWithdrawKey:
		return t.restoreKey(e.Customer)
	default:
		return t.endOnInstances(e)
	}
	return nil
}

func (t *eventRunner) endOnInstances(e Event) (err error) {
	for _, i := range t.deployment.affectedInstances(e) {
		switch e.Kind {
		case EventFailAnswers:
			i.backend.SetFailureFraction(0)
		case EventFalseHealth:
			i.backend.SetHealthOverride(nil)
		case EventSlowdown:
			i.backend.SetSlowdown(1)
		case EventServerOutage:
			t.deployment.recordEvent(recorder.EventServerInService, i.name)
			err = errors.Join(err, t.deployment.setOutOfService(folder.KindServer, i.name, false))
		case EventPlannedStop:
			err = errors.Join(err, t.deployment.startNode(i))
		}
	}
	return err
}

// restoreKey makes a customer's withdrawn key valid again.
func (t *eventRunner) restoreKey(customer string) error {
	t.deployment.recordEvent(recorder.EventKeyIssued, customer)
	m, err := t.generator.scenario.manifest(t.generator.policy)
	if err != nil {
		return err
	}
	return t.deployment.republish(m)
}

// withdrawKey withdraws a customer's key.
func (t *eventRunner) withdrawKey(customer string) error {
	m, err := parser.CloneManifest(t.deployment.manifest)
	if err != nil {
		return err
	}
	for i := range m.Customers {
		if m.Customers[i].Name == customer {
			m.Customers[i].KeyDigests = nil
		}
	}
	err = t.deployment.republish(m)
	t.deployment.recordEvent(recorder.EventKeyWithdrawn, customer)
	return err
}

// falseHealth returns a report of an idle, warm server with falseSlotsFactor
// times its slots.
func falseHealth(h relayer.Health) relayer.Health {
	return relayer.Health{Ready: true, Slots: falseSlotsFactor * max(1, h.Slots)}
}

// affectedInstances returns the instances that an event affects.
func (d *deployment) affectedInstances(e Event) (affected []*instance) {
	for _, i := range d.instances {
		mismatches := []bool{
			e.Service != "" && e.Service != i.service,
			e.Server != "" && e.Server != i.name,
			e.Domain != "" && e.Domain != i.domain,
		}
		if !slices.Contains(mismatches, true) {
			affected = append(affected, i)
		}
	}
	return affected
}

// republish appends a manifest whose rate limits are unchanged to the log.
func (d *deployment) republish(m *parser.Manifest) error {
	record := folder.NewRecord(folder.KindManifest)
	record.Manifest = m
	d.manifest = m
	return d.appendChange(record)
}
