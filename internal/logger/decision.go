package logger

import "time"

// Decision is the outcome of a request and the inputs to it. Empty fields are
// omitted from the log line.
type Decision struct {
	// Request is the id that the caller gave the attempt.
	Request string
	// Route, Service and Customer are those of the request.
	Route, Service, Customer string
	// Node is the node that ran the request or was asked to run it.
	Node string
	// Instance is the backend server that ran the request.
	Instance string
	// Outcome is the message of the log line.
	Outcome string
	// Status is the HTTP status, or 0 if there is none.
	Status int
	// Reason is the cause of a refusal and Detail its explanation.
	Reason, Detail string
	// Ran says whether a refused request may have run.
	Ran string
	// ConfigVersion is the version of the configuration that was in force.
	ConfigVersion uint64
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
}

// LogDecision logs a decision as a line with one field per input.
func (l *Logger) LogDecision(d Decision) {
	priority := PriorityAnswer
	if d.Reason != "" {
		priority = PriorityRefusal
	}
	if !l.allow(priority) {
		return
	}
	entry := l.base.Info()
	for _, field := range []struct{ name, value string }{
		{"request", d.Request},
		{"route", d.Route},
		{"service", d.Service},
		{"customer", d.Customer},
		{"peer", d.Node},
		{"instance", d.Instance},
		{"reason", d.Reason},
		{"ran", d.Ran},
		{"detail", d.Detail},
	} {
		if field.value != "" {
			entry = entry.Str(field.name, field.value)
		}
	}
	if d.Status != 0 {
		entry = entry.Int("status", d.Status)
	}
	if d.ConfigVersion != 0 {
		entry = entry.Uint64("version", d.ConfigVersion)
	}
	if d.TimeLeft != 0 {
		entry = entry.Int64("leftms", d.TimeLeft.Milliseconds())
	}
	entry.Float64("elapsedms", float64(d.Elapsed.Microseconds())/1000).Msg(l.prefix + d.Outcome)
}
