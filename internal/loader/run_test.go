package loader

import (
	"strings"
	"testing"

	"github.com/flamingotack/flamingotack/internal/checker"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

func TestRunMeasuresInProcessNodes(t *testing.T) {
	result, err := Run(t.Context(), parseSmall(t), parser.PolicyAdaptive, 1)
	if err != nil {
		t.Fatal(err)
	}
	if result.Requests == 0 || result.Goodput.BeforePerSecond == 0 || result.Latency.MedianMillis == 0 {
		t.Errorf("got %+v, want served requests", result)
	}
	for _, g := range []checker.Guarantee{checker.GuaranteeKeyHidden, checker.GuaranteeWholeAnswer, checker.GuaranteeRightCustomer, checker.GuaranteeNotRun} {
		if got := result.violationCount(g); got != 0 {
			t.Errorf("got %d violations of %q, want none: %v", got, g, result.Violations)
		}
	}
	var table strings.Builder
	report := Report{Scenario: "small", Results: []Result{result}}
	if err := report.Write(&table); err != nil || !strings.Contains(table.String(), "recovery after an event") {
		t.Errorf("got table %q, %v", table.String(), err)
	}
}

func TestRunAgainstRefusesEvents(t *testing.T) {
	_, err := RunAgainst(t.Context(), parseSmall(t), Target{Addresses: []string{"127.0.0.1:1"}}, 1)
	if err == nil || !strings.Contains(err.Error(), `an event of kind "slow" needs nodes that the tool runs itself`) {
		t.Errorf("got %v, want the slow event refused", err)
	}
}

func TestRunAgainstRunningNodes(t *testing.T) {
	s := parseSmall(t)
	d, err := startDeployment(t.Context(), s, parser.PolicyAdaptive, 1, recorder.New())
	if err != nil {
		t.Fatal(err)
	}
	defer d.close()
	s.Events = nil
	var target Target
	for _, a := range d.callerAddresses() {
		target.Addresses = append(target.Addresses, a.address)
	}
	result, err := RunAgainst(t.Context(), s, target, 1)
	if err != nil {
		t.Fatal(err)
	}
	if result.Goodput.DuringPerSecond == 0 || result.violationCount(checker.GuaranteeWholeAnswer) > 0 {
		t.Errorf("got %+v, want whole answers", result)
	}
}
