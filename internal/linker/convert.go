package linker

import (
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/framer"
	"github.com/flamingotack/flamingotack/internal/guardian"
	"github.com/flamingotack/flamingotack/internal/validator"
)

// callFrames returns the frames of a call that is sent at the time now.
func callFrames(number uint64, c *exchanger.Call, now time.Time) []*framer.Frame {
	first, rest := splitBody(c.Body, c.MoreBody)
	head := &framer.Frame{
		Number: number,
		More:   len(rest) > 0,
		Run: &framer.Run{
			Id:            c.ID,
			Service:       c.Service,
			Route:         c.Route,
			Method:        c.Method,
			Target:        c.Target,
			Host:          c.Host,
			Header:        fromHeader(c.Header),
			Body:          first,
			Customer:      c.Customer,
			Caller:        c.CallerService,
			Priority:      int32(c.Priority),
			LeftMicros:    c.Deadline.Sub(now).Microseconds(),
			Inner:         c.Nested,
			Repeatable:    c.Idempotent,
			Moved:         c.RefusedByFullNode,
			RoutePriority: int32(c.RoutePriority),
			ChainCustomer: c.ChainCustomer,
			ChainKnown:    c.ChainKnown,
			BodyBytes:     c.BodyBytes(),
		},
	}
	moveOddText(head.Run)
	return append([]*framer.Frame{head}, dataFrames(number, rest)...)
}

// replyFrames returns the frames of a reply.
func replyFrames(number uint64, r *exchanger.Reply) []*framer.Frame {
	first, rest := splitBody(r.Body, r.MoreBody)
	head := &framer.Frame{
		Number: number,
		More:   len(rest) > 0,
		Reply:  &framer.Reply{Status: int32(r.Status), Header: fromHeader(r.Header), Body: first, Server: r.ServerNode, BodyBytes: r.BodyBytes()},
	}
	return append([]*framer.Frame{head}, dataFrames(number, rest)...)
}

// splitBody splits a body into parts of at most maxFrameBodyBytes, without copying it.
func splitBody(first []byte, more [][]byte) (head []byte, rest [][]byte) {
	if len(first) <= maxFrameBodyBytes && len(more) == 0 {
		return first, nil
	}
	for _, part := range append([][]byte{first}, more...) {
		for len(part) > 0 {
			n := min(len(part), maxFrameBodyBytes)
			rest = append(rest, part[:n])
			part = part[n:]
		}
	}
	if len(rest) == 0 {
		return nil, nil
	}
	return rest[0], rest[1:]
}

// dataFrames returns the frames that carry the rest of a body.
func dataFrames(number uint64, rest [][]byte) (frames []*framer.Frame) {
	for i, part := range rest {
		frames = append(frames, &framer.Frame{Number: number, Data: part, More: i < len(rest)-1})
	}
	return frames
}

func fromFanOut(route string, fanOut FanOut) *framer.Fans {
	m := &framer.Fans{Route: route, Runs: float32(fanOut.Runs), ServiceMicros: fanOut.ServiceTime.Microseconds()}
	for called, calls := range fanOut.Calls {
		m.Fans = append(m.Fans, &framer.Fan{Called: called, Calls: float32(calls)})
	}
	return m
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
		WarmupMicros:  l.WarmupRemaining.Microseconds(),
		BearsWarm:     float32(l.WarmSlots),
		Version:       l.Version,
		WorkPercent:   int32(l.WorkPercent),
		WorkAgeMicros: l.WorkAge.Microseconds(),
		OwnMicros:     l.OwnTime.Microseconds(),
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
		Detail:      strings.ToValidUTF8(r.Detail, string(utf8.RuneError)),
		RetryMicros: r.RetryAfter.Microseconds(),
	}
}

func toCall(m *framer.Run, now time.Time) *exchanger.Call {
	c := &exchanger.Call{
		ID:                m.GetId(),
		Service:           m.GetService(),
		Route:             m.GetRoute(),
		Method:            m.GetMethod(),
		Target:            m.GetTarget(),
		Host:              m.GetHost(),
		Header:            toHeader(m.GetHeader()),
		Body:              m.GetBody(),
		Customer:          m.GetCustomer(),
		CallerService:     m.GetCaller(),
		Priority:          director.ClampPriority(int(m.GetPriority())),
		RoutePriority:     director.ClampPriority(int(m.GetRoutePriority())),
		ChainCustomer:     m.GetChainCustomer(),
		ChainKnown:        m.GetChainKnown(),
		Deadline:          now.Add(validator.Micros(m.GetLeftMicros())),
		Nested:            m.GetInner(),
		Idempotent:        m.GetRepeatable(),
		RefusedByFullNode: m.GetMoved(),
	}
	restoreOddText(c, m.GetHeader())
	return c
}

func toFanOuts(list []*framer.Fans) map[string]FanOut {
	fanOuts := make(map[string]FanOut, len(list))
	for _, m := range list {
		fanOut := FanOut{
			Runs:        float64(m.GetRuns()),
			Calls:       make(map[string]float64, len(m.GetFans())),
			ServiceTime: validator.Micros(m.GetServiceMicros()),
		}
		for _, f := range m.GetFans() {
			fanOut.Calls[f.GetCalled()] = float64(f.GetCalls())
		}
		fanOuts[m.GetRoute()] = fanOut
	}
	return fanOuts
}

// toLoad returns an error if a number is out of range.
func toLoad(m *framer.Load) (report guardian.LoadReport, err error) {
	for _, value := range []float64{
		float64(m.GetLimit()), float64(m.GetRunning()), float64(m.GetQueued()),
		float64(m.GetOffered()), float64(m.GetBears()), float64(m.GetBearsWarm()),
		float64(m.GetWorkPercent()), float64(m.GetServerWaiting()),
	} {
		if err := validator.Quantity(value, validator.MaxRate); err != nil {
			return report, errors.Wrap(err, "load report")
		}
	}
	return guardian.LoadReport{
		Sequence:        m.GetSequence(),
		Limit:           int(m.GetLimit()),
		Running:         int(m.GetRunning()),
		Queued:          int(m.GetQueued()),
		Closed:          m.GetClosed(),
		MeanServiceTime: validator.Micros(m.GetServiceMicros()),
		OfferedSlots:    float64(m.GetOffered()),
		CapacitySlots:   float64(m.GetBears()),
		Failing:         m.GetFailing(),
		WarmupRemaining: validator.Micros(m.GetWarmupMicros()),
		WarmSlots:       float64(m.GetBearsWarm()),
		Version:         m.GetVersion(),
		WorkPercent:     int(m.GetWorkPercent()),
		WorkAge:         validator.Micros(m.GetWorkAgeMicros()),
		OwnTime:         validator.Micros(m.GetOwnMicros()),
	}, nil
}

// memberMessage is implemented by the messages that describe a member.
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

// toRefusal returns nil for a frame without a refusal. A refusal whose status is none, and a
// reply whose status is not that of a whole answer, become a refusal of a call that may have
// run.
func toRefusal(f *framer.Frame) *exchanger.Refusal {
	if r := f.GetReply(); r != nil && !exchanger.IsAnswerStatus(int(r.GetStatus())) {
		return exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonBroken, "the reply has status %d", r.GetStatus())
	}
	m := f.GetRefusal()
	if m == nil {
		return nil
	}
	if m.GetStatus() < http.StatusBadRequest || !exchanger.IsAnswerStatus(int(m.GetStatus())) {
		return exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonBroken, "the refusal has status %d", m.GetStatus())
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
		RetryAfter: validator.Micros(m.GetRetryMicros()),
	}
}

// toReply returns nil for a frame without a valid reply.
func toReply(f *framer.Frame) *exchanger.Reply {
	m := f.GetReply()
	if m == nil || !exchanger.IsAnswerStatus(int(m.GetStatus())) {
		return nil
	}
	return &exchanger.Reply{Status: int(m.GetStatus()), Header: toHeader(m.GetHeader()), Body: m.GetBody(), ServerNode: m.GetServer()}
}
