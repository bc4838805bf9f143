package linker

import (
	"net/http"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/framer"
	"github.com/flamingotack/flamingotack/internal/guardian"
)

// fromCall returns the frames of a call at the time now.
func fromCall(number uint64, c *exchanger.Call, now time.Time) []*framer.Frame {
	first, rest := cut(c.Body)
	head := &framer.Frame{
		Number: number,
		More:   len(rest) > 0,
		Run: &framer.Run{
			Id:         c.ID,
			Service:    c.Service,
			Route:      c.Route,
			Method:     c.Method,
			Target:     c.Target,
			Host:       c.Host,
			Header:     fromHeader(c.Header),
			Body:       first,
			Customer:   c.Customer,
			Caller:     c.Caller,
			Priority:   int32(c.Priority),
			LeftMicros: c.Deadline.Sub(now).Microseconds(),
			Inner:      c.Inner,
			Repeatable: c.Repeatable,
			Moved:      c.Moved,
		},
	}
	return append([]*framer.Frame{head}, fromRest(number, rest)...)
}

// fromReply returns the frames of a reply.
func fromReply(number uint64, r *exchanger.Reply) []*framer.Frame {
	first, rest := cut(r.Body)
	head := &framer.Frame{
		Number: number,
		More:   len(rest) > 0,
		Reply:  &framer.Reply{Status: int32(r.Status), Header: fromHeader(r.Header), Body: first, Server: r.Server},
	}
	return append([]*framer.Frame{head}, fromRest(number, rest)...)
}

func cut(body []byte) (first, rest []byte) {
	if len(body) <= frameBytes {
		return body, nil
	}
	return body[:frameBytes], body[frameBytes:]
}

func fromRest(number uint64, rest []byte) (frames []*framer.Frame) {
	for len(rest) > 0 {
		var part []byte
		part, rest = cut(rest)
		frames = append(frames, &framer.Frame{Number: number, Data: part, More: len(rest) > 0})
	}
	return frames
}

func fromFans(route string, fans Fans) *framer.Fans {
	m := &framer.Fans{Route: route, Runs: float32(fans.Runs)}
	for called, calls := range fans.Calls {
		m.Fans = append(m.Fans, &framer.Fan{Called: called, Calls: float32(calls)})
	}
	return m
}

func fromHeader(h http.Header) []*framer.Field {
	fields := make([]*framer.Field, 0, len(h))
	for name, values := range h {
		fields = append(fields, &framer.Field{Name: name, Values: values})
	}
	return fields
}

func fromLoad(l guardian.LoadReport) *framer.Load {
	return &framer.Load{
		Sequence:      l.Sequence,
		Limit:         int32(l.Limit),
		Running:       int32(l.Running),
		Queued:        int32(l.Queued),
		Closed:        l.Closed,
		ServiceMicros: l.MeanServiceTime.Microseconds(),
		Offered:       float32(l.OfferedSlots),
		Bears:         float32(l.CapacitySlots),
		Failing:       l.Failing,
	}
}

func fromMember(m Member) *framer.Peer {
	return &framer.Peer{Name: m.Name, Incarnation: m.Incarnation, Address: m.Address, Service: m.Service, Domain: m.Domain}
}

func fromRefusal(r *exchanger.Refusal) *framer.Refusal {
	return &framer.Refusal{
		Status:      int32(r.Status),
		Ran:         r.Ran != exchanger.RanNo,
		Reason:      string(r.Reason),
		Detail:      r.Detail,
		RetryMicros: r.RetryAfter.Microseconds(),
	}
}

func toCall(m *framer.Run, now time.Time) *exchanger.Call {
	return &exchanger.Call{
		ID:         m.GetId(),
		Service:    m.GetService(),
		Route:      m.GetRoute(),
		Method:     m.GetMethod(),
		Target:     m.GetTarget(),
		Host:       m.GetHost(),
		Header:     toHeader(m.GetHeader()),
		Body:       m.GetBody(),
		Customer:   m.GetCustomer(),
		Caller:     m.GetCaller(),
		Priority:   max(0, min(exchanger.Priority(m.GetPriority()), exchanger.PriorityCount-1)),
		Deadline:   now.Add(time.Duration(m.GetLeftMicros()) * time.Microsecond),
		Inner:      m.GetInner(),
		Repeatable: m.GetRepeatable(),
		Moved:      m.GetMoved(),
	}
}

func toFans(list []*framer.Fans) map[string]Fans {
	all := make(map[string]Fans, len(list))
	for _, m := range list {
		fans := Fans{Runs: float64(m.GetRuns()), Calls: make(map[string]float64, len(m.GetFans()))}
		for _, f := range m.GetFans() {
			fans.Calls[f.GetCalled()] = float64(f.GetCalls())
		}
		all[m.GetRoute()] = fans
	}
	return all
}

func toHeader(fields []*framer.Field) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[f.GetName()] = f.GetValues()
	}
	return h
}

func toLoad(m *framer.Load) guardian.LoadReport {
	return guardian.LoadReport{
		Sequence:        m.GetSequence(),
		Limit:           int(m.GetLimit()),
		Running:         int(m.GetRunning()),
		Queued:          int(m.GetQueued()),
		Closed:          m.GetClosed(),
		MeanServiceTime: time.Duration(m.GetServiceMicros()) * time.Microsecond,
		OfferedSlots:    float64(m.GetOffered()),
		CapacitySlots:   float64(m.GetBears()),
		Failing:         m.GetFailing(),
	}
}

// memberMessage is a message that describes a member.
type memberMessage interface {
	GetName() string
	GetIncarnation() string
	GetAddress() string
	GetService() string
	GetDomain() string
}

func toMember(m memberMessage) Member {
	return Member{Name: m.GetName(), Incarnation: m.GetIncarnation(), Address: m.GetAddress(), Service: m.GetService(), Domain: m.GetDomain()}
}

func toRefusal(f *framer.Frame) *exchanger.Refusal {
	m := f.GetRefusal()
	if m == nil {
		return nil
	}
	ran := exchanger.RanNo
	if m.GetRan() {
		ran = exchanger.RanUnknown
	}
	return &exchanger.Refusal{
		Status:     int(m.GetStatus()),
		Ran:        ran,
		Reason:     exchanger.Reason(m.GetReason()),
		Detail:     m.GetDetail(),
		RetryAfter: time.Duration(m.GetRetryMicros()) * time.Microsecond,
	}
}

func toReply(f *framer.Frame) *exchanger.Reply {
	m := f.GetReply()
	if m == nil {
		return nil
	}
	return &exchanger.Reply{Status: int(m.GetStatus()), Header: toHeader(m.GetHeader()), Body: m.GetBody(), Server: m.GetServer()}
}
