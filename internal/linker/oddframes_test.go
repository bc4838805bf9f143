package linker

import (
	"context"
	"math"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/framer"
	"github.com/flamingotack/flamingotack/internal/logger"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

// newOddFrames returns frames with values that no node sends. b is the node that sends them.
func newOddFrames(b Member) map[string]*framer.Frame {
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	member := func(address string) *framer.News {
		return &framer.News{Name: "x", Incarnation: "x-1", Address: address, Service: "s", Domain: "d"}
	}
	return map[string]*framer.Frame{
		"empty":                 {},
		"port out of range":     {News: member("10.0.0.1:70000")},
		"no address":            {News: &framer.News{Name: "x", Incarnation: "x-1"}},
		"odd peers":             {News: &framer.News{Peers: []*framer.Peer{{Name: "y"}, {Name: "y", Incarnation: "1", Address: "a:-1", Service: "s", Domain: "d"}}}},
		"load without numbers":  {Load: &framer.Load{Sequence: 9, Offered: nan, Bears: inf, BearsWarm: nan}},
		"negative load":         {Load: &framer.Load{Sequence: 9, Limit: -1, Running: -1, Queued: math.MinInt32}},
		"fan-outs out of range": {News: &framer.News{Name: b.Name, Incarnation: b.Incarnation, Address: b.Address, Service: b.Service, Domain: b.Domain, Fans: []*framer.Fans{{Route: "r", Runs: nan, Fans: []*framer.Fan{{Called: "q", Calls: inf}}}}}},
		"state that is no JSON": {State: []byte("{"), Revision: 3},
		"deeply nested state":   {State: []byte(strings.Repeat(`{"Config":`, 20_000))},
		"invalid state":         {State: []byte(`{"Revision":99,"Config":{"version":9,"limits":{"headerbytes":-1}}}`)},
		"odd suspects":          {Suspects: []*framer.Suspect{{}, {Digest: make([]byte, 3)}, {Digest: make([]byte, 32), Crashed: []string{"c"}, LeftMicros: math.MaxInt64}}},
		"answers to nothing":    {Number: math.MaxUint64, Reply: &framer.Reply{Status: -1}, More: true},
		"negative tokens":       {Number: 7, Ask: &framer.Ask{Customer: "c", Tokens: math.MinInt64, Held: true}},
		"body without a call":   {Number: 8, Data: []byte("x"), More: true},
		"cancel of nothing":     {Number: 9, Cancel: true},
	}
}

// TestOddFramesChangeNothing guards against nodes that end, or act on values that make no
// sense, because of what another node sends.
func TestOddFramesChangeNothing(t *testing.T) {
	a, b := startPair(t)
	b.run = func(context.Context, *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
		return &exchanger.Reply{Status: 200}, nil
	}
	before := a.Members()
	session := a.link("b").current.Load()
	for name, f := range newOddFrames(b.member) {
		a.link("b").handleFrame(session, f)
		r := &inboundSession{server: &meshServer{linker: a.Linker}, session: session, ctx: t.Context(), member: b.member, cancelFuncs: map[uint64]context.CancelFunc{}, partialCalls: map[uint64]*exchanger.Call{}}
		r.handleFrame(f)
		r.goroutines.Wait()
		if got := a.Members(); !slices.Equal(got, before) {
			t.Errorf("%s: got members %v, want %v", name, got, before)
		}
		if got := a.getState().Revision; got != 0 {
			t.Errorf("%s: got revision %d, want 0", name, got)
		}
		a.mu.Lock()
		load := a.receivedLoads["b"]
		suspects := a.suspects.SuspectCount()
		fanOut := a.receivedFanOuts["b"]["r"]
		a.mu.Unlock()
		if load.Limit < 0 || load.Sequence == 9 || suspects != 0 || fanOut.Runs != fanOut.Runs {
			t.Errorf("%s: got load %v, fan-out %v and %d suspects, want none of them", name, load, fanOut, suspects)
		}
	}
	if _, refusal := a.Send(t.Context(), "b", newCall(10*time.Second)); refusal != nil {
		t.Errorf("got refusal %v after all, want a reply", refusal)
	}
}

// TestOddAnswersEndCall guards against callers that get an answer that is none.
func TestOddAnswersEndCall(t *testing.T) {
	tests := []struct {
		name   string
		answer *framer.Frame
	}{
		{"reply without a status", &framer.Frame{Reply: &framer.Reply{}}},
		{"reply with a provisional status", &framer.Frame{Reply: &framer.Reply{Status: 101}}},
		{"reply with a status out of range", &framer.Frame{Reply: &framer.Reply{Status: 70000}}},
		{"reply with a status above 599", &framer.Frame{Reply: &framer.Reply{Status: 600}}},
		{"reply with status 999", &framer.Frame{Reply: &framer.Reply{Status: 999}}},
		{"reply with a negative status", &framer.Frame{Reply: &framer.Reply{Status: -200}}},
		{"refusal with a status above 599", &framer.Frame{Refusal: &framer.Refusal{Status: 600}}},
		{"refusal without a status", &framer.Frame{Refusal: &framer.Refusal{}}},
		{"refusal with a good status", &framer.Frame{Refusal: &framer.Refusal{Status: 200}}},
		{"body alone", &framer.Frame{Data: []byte("x")}},
	}
	for _, tt := range tests {
		k := newLink(New(Member{Name: "a"}, timekeeper.SystemClock{}, logger.New(t.Output(), "info", "a"), Handlers{}), Member{Name: "b"})
		k.current.Store(newSession(timekeeper.SystemClock{}, nil, func() {}))
		number, e := k.beginExchange(&exchange{})
		tt.answer.Number = number
		k.completeExchange(tt.answer)
		if r := <-e.done; r.reply != nil || r.refusal == nil || r.refusal.Ran != exchanger.RanUnknown || r.refusal.Status != http.StatusBadGateway {
			t.Errorf("%s: got %v, %v, want a refusal of a call that may have run", tt.name, r.reply, r.refusal)
		}
	}
}

// TestGrantIsAtMostWhatWasAsked guards against a customer that exceeds its rate because a node
// grants more tokens than it was asked for.
func TestGrantIsAtMostWhatWasAsked(t *testing.T) {
	k := newLink(New(Member{Name: "a"}, timekeeper.SystemClock{}, logger.New(t.Output(), "info", "a"), Handlers{}), Member{Name: "b"})
	k.current.Store(newSession(timekeeper.SystemClock{}, nil, func() {}))
	number, e := k.beginExchange(&exchange{askedMilliTokens: 500})
	k.completeExchange(&framer.Frame{Number: number, Grant: math.MaxInt64})
	if got := (<-e.done).grantedMilliTokens; got != 500 {
		t.Errorf("got %d, want 500", got)
	}
}

// TestRepeatedCallNumberIsIgnored guards against a node that ends because another one numbers
// two calls alike.
func TestRepeatedCallNumberIsIgnored(t *testing.T) {
	a, b := startPair(t)
	running, release := make(chan struct{}, 2), make(chan struct{})
	b.run = func(context.Context, *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
		running <- struct{}{}
		<-release
		return &exchanger.Reply{Status: 200}, nil
	}
	k := a.link("b")
	number, e := k.beginExchange(&exchange{})
	frames := callFrames(number, newCall(20*time.Second), time.Now())
	e.session.enqueue(frames...)
	<-running
	e.session.enqueue(frames...)
	e.session.enqueue(&framer.Frame{Ping: true})
	time.Sleep(50 * time.Millisecond)
	close(release)
	if r := <-e.done; r.refusal != nil {
		t.Errorf("got refusal %v, want the reply", r.refusal)
	}
	if _, refusal := a.Send(t.Context(), "b", newCall(20*time.Second)); refusal != nil {
		t.Errorf("got refusal %v of the next call, want its reply", refusal)
	}
	if got := len(running); got != 1 {
		t.Errorf("got %d further runs, want 1", got)
	}
}
