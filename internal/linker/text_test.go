package linker

import (
	"context"
	"net/http"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
)

// TestTextThatIsNotUTF8PassesUnchanged guards against a link that breaks with all calls on it
// because a request, an answer or a refusal holds bytes that are not UTF-8, and against bytes
// that change on their way.
func TestTextThatIsNotUTF8PassesUnchanged(t *testing.T) {
	a, b := startPair(t)
	var all []byte
	for c := range 0x100 {
		if c >= 0x20 && c != 0x7f || c == '\t' {
			all = append(all, byte(c))
		}
	}
	header := http.Header{
		"X-Note":  {"caf\xe9"},
		"X-Mixed": {"plain", "\xff\xfe", "käse", ""},
		"X-All":   {string(all)},
		"X-Plain": {"käse", "plain"},
	}
	var got *exchanger.Call
	b.run = func(_ context.Context, c *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
		got = c
		return &exchanger.Reply{Status: http.StatusOK, Header: c.Header.Clone()}, nil
	}
	want := newCall(10 * time.Second)
	want.ID, want.Target, want.Host, want.Header = "caf\xe9", "/caf\xe9?\xff", "h\xe9", header
	reply, refusal := a.Send(t.Context(), "b", want)
	if refusal != nil {
		t.Fatalf("got refusal %v, want a reply", refusal)
	}
	if got.ID != want.ID || got.Target != want.Target || got.Host != want.Host || !reflect.DeepEqual(got.Header, header) {
		t.Errorf("got call %+v, want %+v", got, want)
	}
	if !reflect.DeepEqual(reply.Header, header) {
		t.Errorf("got header %q of the reply, want %q", reply.Header, header)
	}
	b.run = func(context.Context, *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
		return nil, exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonBroken, "malformed line %s", "caf\xe9")
	}
	if _, refusal := a.Send(t.Context(), "b", newCall(10*time.Second)); refusal == nil || refusal.Reason != exchanger.ReasonBroken || refusal.Detail != "malformed line caf\uFFFD" {
		t.Errorf("got refusal %v, want that of the node", refusal)
	}
	if got := a.LostLinks.Load(); got != 0 {
		t.Errorf("got %d lost links, want none", got)
	}
}

// TestMessageThatCannotBeEncodedFailsAlone guards against a link that breaks with all calls on
// it because one message on it can't be encoded. A call that was not sent for that reason has
// not run; one whose answer could not be sent may have.
func TestMessageThatCannotBeEncodedFailsAlone(t *testing.T) {
	const others = 8
	a, b := startPair(t)
	release := make(chan struct{})
	b.run = func(_ context.Context, c *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
		<-release
		if c.ID == "odd" {
			return nil, &exchanger.Refusal{Status: http.StatusServiceUnavailable, Ran: exchanger.RanNo, Reason: "\xff"}
		}
		return &exchanger.Reply{Status: http.StatusOK}, nil
	}
	var calling sync.WaitGroup
	for range others {
		calling.Go(func() {
			if _, refusal := a.Send(t.Context(), "b", newCall(10*time.Second)); refusal != nil {
				t.Errorf("got refusal %v for another call, want a reply", refusal)
			}
		})
	}
	calling.Go(func() {
		odd := newCall(10 * time.Second)
		odd.ID = "odd"
		if _, refusal := a.Send(t.Context(), "b", odd); refusal == nil || refusal.Ran != exchanger.RanUnknown {
			t.Errorf("got refusal %v for the call whose answer can't be sent, want one that may have run", refusal)
		}
	})
	unencodable := newCall(10 * time.Second)
	unencodable.Customer, unencodable.Body = "\xff", make([]byte, 3*maxFrameBodyBytes)
	if _, refusal := a.Send(t.Context(), "b", unencodable); refusal == nil || refusal.Ran != exchanger.RanNo {
		t.Errorf("got refusal %v for the call that can't be sent, want one that has not run", refusal)
	}
	close(release)
	calling.Wait()
	if got := a.LostLinks.Load(); got != 0 {
		t.Errorf("got %d lost links, want none", got)
	}
}
