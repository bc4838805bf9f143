package linker

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/flamingotack/flamingotack/internal/dialer"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/framer"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

type (
	// link is the way to one other node.
	link struct {
		owner  *Linker
		member Member
		cancel context.CancelFunc

		// current is the session that stands; nil without one.
		current atomic.Pointer[session]
		// closed says that the node last told that it takes no work.
		closed atomic.Bool
		// downs counts the sessions that ended and those that could not be set
		// up, since the link was started.
		downs atomic.Int64

		// wanted says that the last choice wanted the link, chosen that calls may
		// be sent over it, lastWanted when a choice last wanted it, and started
		// when it was started, zero while it is not kept. The owner's lock guards
		// them.
		wanted, chosen      bool
		lastWanted, started time.Time

		mu      sync.Mutex
		pending map[uint64]*pending
		number  uint64
		pinged  time.Time
		// told is when news were last sent, and followed when the node last told
		// that the directory answers it.
		told, followed time.Time
	}

	// pending is an exchange whose answer is due.
	pending struct {
		session *session
		// repeatable says that the exchange may be made again elsewhere.
		repeatable bool
		// done takes one result.
		done chan result
		// partial is an answer of which more is to come.
		partial *exchanger.Reply
	}

	// result is how an exchange ended.
	result struct {
		reply   *exchanger.Reply
		refusal *exchanger.Refusal
		granted int64
	}
)

func newLink(l *Linker, m Member) *link {
	return &link{owner: l, member: m, cancel: func() {}, pending: map[uint64]*pending{}}
}

func (k *link) ask(ctx context.Context, a *framer.Ask) (granted int64) {
	number, p := k.begin(true)
	if p == nil {
		return 0
	}
	defer k.end(number)
	if !p.session.put(&framer.Frame{Number: number, Ask: a}) {
		return 0
	}
	select {
	case r := <-p.done:
		return r.granted
	case <-ctx.Done():
		return 0
	}
}

// begin registers an exchange; nil while the link is down.
func (k *link) begin(repeatable bool) (number uint64, p *pending) {
	s := k.current.Load()
	if s == nil {
		return 0, nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.number++
	p = &pending{session: s, repeatable: repeatable, done: make(chan result, 1)}
	k.pending[k.number] = p
	return k.number, p
}

// begun takes a session that has just told the news into use.
func (k *link) begun(s *session) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.told = k.owner.clock.Now().Add(firstNews - newsInterval)
	k.current.Store(s)
	k.owner.version.Add(1)
}

// check pings a link on which an answer is due, ends a silent one, and tells the
// news when they are due. The caller holds the linker's lock.
func (k *link) check(now time.Time) {
	s := k.current.Load()
	if s == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	quiet := now.Sub(s.heardAt())
	switch {
	case len(k.pending) == 0:
		k.pinged = time.Time{}
	case quiet < pingAfter:
		k.pinged = time.Time{}
	case k.pinged.IsZero():
		k.pinged = now
		s.put(&framer.Frame{Ping: true})
	case quiet > silentAfter && now.Sub(k.pinged) > silentAfter-pingAfter:
		k.owner.logger.Warnf("Link to node %s is silent for %s.", k.member.Name, quiet)
		k.retire(s)
		return
	}
	if now.Sub(k.told) >= newsInterval {
		k.told = now
		s.put(k.owner.news())
	}
}

// dial sets a session up and serves it until it ends.
func (k *link) dial(ctx context.Context) (stood bool) {
	socket, err := dialer.New(dialTimeout).DialContext(ctx, "tcp4", k.member.Address)
	if err != nil {
		k.downs.Add(1)
		return false
	}
	conn := drpcconn.NewWithOptions(socket, drpcconn.Options{Manager: managerOptions()})
	stream, err := framer.NewDRPCMeshClient(conn).Link(ctx)
	if err != nil {
		_ = conn.Close()
		return false
	}
	s := newSession(k.owner.clock, stream, func() { socket.Close() })
	s.put(k.owner.currentNews())
	k.begun(s)
	k.owner.logger.Infof("Link to node %s stands.", k.member.Name)
	go s.write()
	ended := make(chan struct{})
	k.owner.running.Go(func() {
		defer close(ended)
		defer func() { _ = conn.Close() }()
		defer k.down(s)
		s.read(func(f *framer.Frame) { k.take(s, f) })
	})
	select {
	case <-ended:
	case <-s.retired:
	}
	return true
}

// down ends what waits on a session.
func (k *link) down(s *session) {
	if k.current.CompareAndSwap(s, nil) {
		k.owner.version.Add(1)
		k.downs.Add(1)
	}
	k.owner.Lost.Add(1)
	unsent := s.close()
	k.mu.Lock()
	defer k.mu.Unlock()
	failed := 0
	for number, p := range k.pending {
		if p.session != s {
			continue
		}
		failed++
		delete(k.pending, number)
		refusal := k.silent()
		if unsent[number] {
			refusal = unreachable(k.member.Name)
		}
		p.done <- result{refusal: refusal}
	}
	k.owner.logger.Warnf("Link to node %s is down, %d exchanges failed.", k.member.Name, failed)
}

func (k *link) end(number uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p := k.pending[number]; p != nil {
		delete(k.pending, number)
		k.releaseRetired(p.session)
	}
}

// follows reports whether the node can be reached and has told within followLife that
// the directory answers it.
func (k *link) follows(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current.Load() != nil && now.Sub(k.followed) < followLife
}

// hear takes whether the directory answers the node.
func (k *link) hear(follows bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.followed = time.Time{}
	if follows {
		k.followed = k.owner.clock.Now()
	}
}

// idle reports whether no answer is due.
func (k *link) idle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.pending) == 0
}

// keep redials until ctx ends.
func (k *link) keep(ctx context.Context) {
	pause := firstRedial
	for ctx.Err() == nil {
		if k.dial(ctx) {
			pause = firstRedial
		}
		timekeeper.Sleep(ctx, pause)
		pause = min(lastRedial, 2*pause)
	}
}

func (k *link) send(ctx context.Context, c *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
	number, p := k.begin(c.Idempotent)
	if p == nil {
		return nil, unreachable(k.member.Name)
	}
	now := k.owner.clock.Now()
	if !p.session.put(fromCall(number, c, now)...) {
		k.end(number)
		return nil, unreachable(k.member.Name)
	}
	timer := time.NewTimer(c.Deadline.Sub(now) + replyMargin)
	defer timer.Stop()
	select {
	case r := <-p.done:
		return r.reply, r.refusal
	case <-timer.C:
	case <-ctx.Done():
	}
	k.end(number)
	select {
	case r := <-p.done:
		return r.reply, r.refusal
	default:
	}
	if p.session.withdraw(number) {
		return nil, unsent(ctx, k.member.Name)
	}
	p.session.put(&framer.Frame{Number: number, Cancel: true})
	if ctx.Err() != nil {
		return nil, exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonCanceled, "the request was canceled while it ran")
	}
	return nil, exchanger.Unknown(http.StatusGatewayTimeout, exchanger.ReasonDeadline, "no answer from node %s in time", k.member.Name)
}

// unsent returns the refusal of a call that a link could not send in time.
func unsent(ctx context.Context, name string) *exchanger.Refusal {
	if ctx.Err() != nil {
		return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonCanceled, "the caller went away")
	}
	return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonDeadline, "the deadline passed before the call was sent to node %s", name)
}

// start keeps the link until ctx ends or stop. It returns at once.
func (k *link) start(ctx context.Context) {
	ctx, k.cancel = context.WithCancel(ctx)
	k.downs.Store(0)
	k.owner.running.Go(func() { k.keep(ctx) })
}

func (k *link) stop() {
	k.cancel()
	if s := k.current.Load(); s != nil {
		s.close()
	}
}

// take takes a frame of the other node.
func (k *link) take(s *session, f *framer.Frame) {
	if f.GetNews() != nil {
		k.owner.takeNews(s, f.GetNews(), f.GetNews().GetName() == k.member.Name)
	}
	if f.GetLoad() != nil {
		k.closed.Store(f.GetLoad().GetClosed())
	}
	if f.GetRevision() > 0 {
		k.hear(f.GetFollows())
	}
	k.owner.takeFacts(s, k.member, f)
	if f.GetReply() != nil || f.GetRefusal() != nil || f.GetData() != nil || f.GetGrant() != 0 {
		k.settle(f)
	}
}

// settle ends the exchange that the frame answers.
func (k *link) settle(f *framer.Frame) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.pending[f.GetNumber()]
	if p == nil {
		return
	}
	if reply := toReply(f); reply != nil {
		p.partial = reply
	} else if p.partial != nil {
		p.partial.Body = append(p.partial.Body, f.GetData()...)
	}
	if f.GetMore() {
		return
	}
	delete(k.pending, f.GetNumber())
	k.releaseRetired(p.session)
	p.done <- result{reply: p.partial, refusal: toRefusal(f), granted: max(0, f.GetGrant())}
}
