package logger

import "time"

// Decision is what became of a request, with what decided it. Empty fields are
// left out of the line.
type Decision struct {
	// Request is the caller's id of the attempt.
	Request string
	// Route, Service and Customer are those of the request.
	Route, Service, Customer string
	// Node is the node that ran the request, or was asked to.
	Node string
	// Instance is the backend server that ran the request.
	Instance string
	// Outcome says what was decided, in a few words.
	Outcome string
	// Status is the HTTP status; 0 for none.
	Status int
	// Reason is the cause of a refusal, and Detail explains it.
	Reason, Detail string
	// Ran says whether a refused request may have run.
	Ran string
	// Version is that of the configuration that decided.
	ConfigVersion uint64
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration
	// Left is the time until its deadline.
	TimeLeft time.Duration
}

// Decision logs what became of a request, as a line with a field for each input.
func (p *Logger) LogDecision(d Decision) {
	rank := PriorityAnswer
	if d.Reason != "" {
		rank = PriorityRefusal
	}
	if !p.admit(rank) {
		return
	}
	e := p.base.Info()
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
			e = e.Str(field.name, field.value)
		}
	}
	if d.Status != 0 {
		e = e.Int("status", d.Status)
	}
	if d.ConfigVersion != 0 {
		e = e.Uint64("version", d.ConfigVersion)
	}
	if d.TimeLeft != 0 {
		e = e.Int64("leftms", d.TimeLeft.Milliseconds())
	}
	e.Float64("elapsedms", float64(d.Elapsed.Microseconds())/1000).Msg(p.prefix + d.Outcome)
}
