// Package reporter computes how fast services burn their error budgets from the
// counts of all nodes. It does no I/O and reads no clock.
package reporter

import (
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/meter"
	"github.com/flamingotack/flamingotack/internal/parser"
)

// The levels of an alert.
const (
	// AlertNone says that nobody has to act: the error budget lasts.
	AlertNone Alert = "ok"
	// AlertPage says that somebody has to act now.
	AlertPage Alert = "page"
	// AlertTicket says that somebody has to act within days.
	AlertTicket Alert = "ticket"
)

type (
	// Alert says how soon somebody has to act.
	Alert string

	// EventClass says how a request counts for an objective.
	EventClass int

	// alertRule raises an alert when the burn rate over both windows reaches
	// minBurnRate. The long window shows that the burn is significant, the short
	// window that it still goes on.
	alertRule struct {
		longWindow, shortWindow meter.Window
		minBurnRate             float64
		alert                   Alert
	}
)

// The event classes.
const (
	// EventBad counts against the objective.
	EventBad EventClass = iota
	// EventGood counts for the objective.
	EventGood
	// EventExcluded does not count, because the caller itself is the cause.
	EventExcluded
)

// alertRules are those of the Google SRE Workbook, chapter "Alerting on SLOs",
// section "Multiwindow, Multi-Burn-Rate Alerts", for a budget of 30 days: 2 %
// of it in an hour, 5 % in six hours, 10 % in three days.
var alertRules = []alertRule{
	{meter.Window1h, meter.Window5m, 14.4, AlertPage},
	{meter.Window6h, meter.Window30m, 6, AlertPage},
	{meter.Window3d, meter.Window6h, 1, AlertTicket},
}

// Classify returns how a request with that outcome counts. Refusals for the rate
// are excluded; WrongfulRefusals counts those of them that are wrongful.
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

// mostUrgentAlert returns the most urgent alert that the burn rates raise. They
// are in the order of meter.Windows.
func mostUrgentAlert(burn [len(meter.Windows)]float64) Alert {
	for _, r := range alertRules {
		if burn[windowIndex(r.longWindow)] >= r.minBurnRate && burn[windowIndex(r.shortWindow)] >= r.minBurnRate {
			return r.alert
		}
	}
	return AlertNone
}

// windowIndex returns the index of a window in meter.Windows. It panics for a
// window that is not counted.
func windowIndex(w meter.Window) int {
	for i, v := range meter.Windows {
		if v == w {
			return i
		}
	}
	panic("window " + time.Duration(w).String() + " is not in meter.Windows")
}
