// Package reporter works out how fast services burn their error budgets, from
// the counts of all nodes. It has no input, output or clock.
package reporter

import (
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/meter"
	"github.com/flamingotack/flamingotack/internal/parser"
)

// The levels of an alert.
const (
	// AlertNone says that the budget lasts.
	AlertNone Alert = "ok"
	// AlertPage says that somebody has to act now.
	AlertPage Alert = "page"
	// AlertTicket says that somebody has to act within days.
	AlertTicket Alert = "ticket"
)

type (
	// Alert tells how soon somebody has to act.
	Alert string

	// Class says what a request counts for.
	EventClass int

	// rule raises an alert when the burn rate over both spans reaches a
	// threshold. The long span shows that the matter is significant, the short
	// one that it still goes on.
	rule struct {
		long, short meter.Window
		threshold   float64
		alert       Alert
	}
)

// The classes of requests.
const (
	// ClassBad counts against the objective.
	EventBad EventClass = iota
	// ClassGood counts for the objective.
	EventGood
	// ClassNone counts neither way: the caller itself is the cause.
	EventExcluded
)

// rules are those of the Google SRE Workbook, chapter "Alerting on SLOs",
// section "Multiwindow, Multi-Burn-Rate Alerts", for a budget of 30 days: 2 %
// of it in an hour, 5 % in six hours, 10 % in three days.
var rules = []rule{
	{meter.Window1h, meter.Window5m, 14.4, AlertPage},
	{meter.Window6h, meter.Window30m, 6, AlertPage},
	{meter.Window3d, meter.Window6h, 1, AlertTicket},
}

// Classify returns what a request with that outcome counts for. A refusal for
// the rate counts for nothing here; wrongful ones are told apart by Wrongful.
func Classify(o meter.Outcome) EventClass {
	switch o {
	case meter.OutcomeGood:
		return EventGood
	case meter.OutcomeError, meter.OutcomeSlow:
		return EventBad
	}
	switch exchanger.Reason(o) {
	case exchanger.ReasonBodyTooLarge, exchanger.ReasonCanceled, exchanger.ReasonConflict,
		exchanger.ReasonHeaders, exchanger.ReasonKeyMissing, exchanger.ReasonIdempotencyKeyReused,
		exchanger.ReasonKeyUnknown, exchanger.ReasonRate, exchanger.ReasonRouteUnknown,
		exchanger.ReasonServiceUnknown, exchanger.ReasonTokenUnknown:
		return EventExcluded
	default:
		return EventBad
	}
}

// BurnRate returns how many times faster than allowed the error budget is
// spent: 1 spends it exactly by the end of the objective's period. Without
// requests it is 0.
func BurnRate(t Tally, o parser.Objective) float64 {
	if t.Good+t.Bad == 0 {
		return 0
	}
	return float64(t.Bad) / float64(t.Good+t.Bad) / (1 - o.Good)
}

// alertOf returns the most urgent alert of the burn rates, by span.
func alertOf(burn [len(meter.Windows)]float64) Alert {
	for _, r := range rules {
		if burn[column(r.long)] >= r.threshold && burn[column(r.short)] >= r.threshold {
			return r.alert
		}
	}
	return AlertNone
}

// column returns the place of a span in the counts.
func column(s meter.Window) int {
	for i, t := range meter.Windows {
		if t == s {
			return i
		}
	}
	panic("span " + time.Duration(s).String() + " is not counted")
}
