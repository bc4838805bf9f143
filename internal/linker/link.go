package linker

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/flamingotack/flamingotack/internal/dialer"
	"github.com/flamingotack/flamingotack/internal/director"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/framer"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

type (
	// link manages the connection to one other node and the exchanges over it.
	link struct {
		linker *Linker
		member Member
		// stopDialing ends the attempts to connect, cancel also the sessions.
		stopDialing, cancel context.CancelFunc

		// current is the established session, or nil.
		current atomic.Pointer[session]
		// closed reports whether the node's last load said that it takes no work.
		closed atomic.Bool
		// failures counts the sessions that ended or were retired and the failed
		// dials, since the link was started.
		failures atomic.Int64

		// wanted reports whether the last choice of links included this one,
		// selected whether calls may be sent over it. lastWantedAt is when a choice
		// last included it, startedAt when it was started, zero while it is
		// stopped. The linker's lock guards them.
		wanted, selected        bool
		lastWantedAt, startedAt time.Time

		mu sync.Mutex
		// pending holds the exchanges whose answers are due, by number. lastNumber is
		// the number of the newest exchange.
		pending    map[uint64]*exchange
		lastNumber uint64
		// pingedAt is when the node was pinged, zero if no pong is awaited.
		pingedAt time.Time
		// newsSentAt is when news were last sent, directoryReachableAt when the node
		// last reported the directory as reachable, zero if its last report said
		// that it is not.
		newsSentAt, directoryReachableAt time.Time
	}

	// exchange is a request to the node whose answer is due.
	exchange struct {
		session *session
		// idempotent reports whether the request may be retried on another node.
		idempotent bool
		// askedMilliTokens is the number of tokens that the request asks for.
		askedMilliTokens int64
		// done is buffered and receives one result.
		done chan result
		// partialReply is a reply of which more frames follow.
		partialReply *exchanger.Reply
		// body accounts for the memory of a reply that comes in several frames.
		body bodyReservation
		// hasDataFrames reports whether the request is sent in several frames.
		hasDataFrames bool
	}

	// result is the outcome of an exchange.
	result struct {
		reply              *exchanger.Reply
		refusal            *exchanger.Refusal
		grantedMilliTokens int64
	}
)

func newLink(l *Linker, m Member) *link {
	return &link{linker: l, member: m, stopDialing: func() {}, cancel: func() {}, pending: map[uint64]*exchange{}}
}

// requestTokens sends a request for tokens and returns the tokens granted, in thousandths;
// 0 if the link is down or no answer comes before ctx ends.
func (k *link) requestTokens(ctx context.Context, a *framer.Ask) (grantedMilliTokens int64) {
	number, e := k.beginExchange(&exchange{idempotent: true, askedMilliTokens: a.GetTokens()})
	if e == nil {
		return 0
	}
	defer k.abandonExchange(number)
	if !e.session.enqueue(&framer.Frame{Number: number, Ask: a}) {
		return 0
	}
	select {
	case r := <-e.done:
		return r.grantedMilliTokens
	case <-ctx.Done():
		return 0
	}
}

// beginExchange registers e on the current session. It returns nil while the link is down.
func (k *link) beginExchange(e *exchange) (number uint64, begun *exchange) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.current.Load()
	if s == nil {
		return 0, nil
	}
	k.lastNumber++
	e.session, e.done = s, make(chan result, 1)
	k.pending[k.lastNumber] = e
	return k.lastNumber, e
}

// activate makes a session current that has just sent the news.
func (k *link) activate(s *session) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.newsSentAt = k.linker.clock.Now().Add(secondNewsDelay - newsInterval)
	k.current.Store(s)
	k.linker.peersVersion.Add(1)
}

// maintain pings a quiet link on which an answer is due, retires the session of a silent
// one, and sends the news when they are due. The caller holds the linker's lock.
func (k *link) maintain(now time.Time) {
	s := k.current.Load()
	if s == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	quiet := now.Sub(s.lastReceivedAt())
	switch {
	case len(k.pending) == 0:
		k.pingedAt = time.Time{}
	case quiet < pingAfter:
		k.pingedAt = time.Time{}
	case k.pingedAt.IsZero():
		k.pingedAt = now
		s.enqueue(&framer.Frame{Ping: true})
	case quiet > silentAfter && now.Sub(k.pingedAt) > silentAfter-pingAfter:
		k.linker.logger.Warnf("link to node %s silent for %s, session retired", k.member.Name, quiet)
		k.retire(s)
		return
	}
	if now.Sub(k.newsSentAt) >= newsInterval {
		k.newsSentAt = now
		s.enqueue(k.linker.newsFrame())
	}
}

// connectAndServe establishes a session and serves it until it ends or is retired. It
// reports whether a session was established. dialCtx bounds the dial, ctx the session.
func (k *link) connectAndServe(ctx, dialCtx context.Context) (connected bool) {
	netConn, err := dialer.New(dialTimeout).DialContext(dialCtx, "tcp4", k.member.Address)
	if err != nil {
		k.failures.Add(1)
		return false
	}
	conn := drpcconn.NewWithOptions(netConn, drpcconn.Options{Manager: managerOptions()})
	stream, err := framer.NewDRPCMeshClient(conn).Link(ctx)
	if err != nil {
		_ = conn.Close()
		return false
	}
	s := newSession(k.linker.clock, stream, func() { netConn.Close() })
	s.handleUnsent = k.refuseUnsent
	s.account = k.linker.account
	s.enqueue(k.linker.currentNewsFrame())
	k.activate(s)
	k.linker.logger.Infof("link to node %s established", k.member.Name)
	go s.writeFrames()
	ended := make(chan struct{})
	k.linker.goroutines.Go(func() {
		defer close(ended)
		defer func() { _ = conn.Close() }()
		defer k.handleSessionEnd(s)
		s.readFrames(func(f *framer.Frame) { k.handleFrame(s, f) })
	})
	select {
	case <-ended:
	case <-s.retired:
	}
	return true
}

// handleSessionEnd closes a session and fails the exchanges that wait on it. Those whose
// request was never sent end as not run.
func (k *link) handleSessionEnd(s *session) {
	if k.current.CompareAndSwap(s, nil) {
		k.linker.peersVersion.Add(1)
		k.failures.Add(1)
	}
	k.linker.LostLinks.Add(1)
	unsent := s.close()
	k.mu.Lock()
	defer k.mu.Unlock()
	failed := 0
	for number, e := range k.pending {
		if e.session != s {
			continue
		}
		failed++
		k.removeExchange(number, e)
		refusal := k.silentRefusal()
		if unsent[number] {
			refusal = unreachableRefusal(k.member.Name)
		}
		e.done <- result{refusal: refusal}
	}
	k.linker.logger.Warnf("link to node %s lost, %d exchanges failed", k.member.Name, failed)
}

// abandonExchange drops an exchange whose answer is not awaited any more.
func (k *link) abandonExchange(number uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e := k.pending[number]; e != nil {
		k.removeExchange(number, e)
		k.closeRetiredIfIdle(e.session)
	}
}

// removeExchange removes an exchange that ends, for whatever reason. It releases the memory of a
// partial reply, as the receiver of a whole one reserves what it holds, and drops the parts of
// the request that are still queued. The caller holds the lock.
func (k *link) removeExchange(number uint64, e *exchange) {
	delete(k.pending, number)
	e.body.release()
	if e.hasDataFrames {
		e.session.dropData(number)
	}
}

// directoryReachable reports whether the node is connected and has reported the directory as
// reachable within directoryReachableLifetime.
func (k *link) directoryReachable(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current.Load() != nil && now.Sub(k.directoryReachableAt) < directoryReachableLifetime
}

// recordDirectoryReachable records whether the node reports the directory as reachable.
func (k *link) recordDirectoryReachable(reachable bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.directoryReachableAt = time.Time{}
	if reachable {
		k.directoryReachableAt = k.linker.clock.Now()
	}
}

// stopIfIdle stops the link if no exchange is pending, and reports whether it did. No
// exchange begins meanwhile.
func (k *link) stopIfIdle() (stopped bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.pending) > 0 {
		return false
	}
	k.stop()
	return true
}

// redialUntilDone connects again after each failure or end of a session, until dialCtx ends.
// The delay doubles from minRedialDelay to maxRedialDelay while connecting fails. ctx bounds
// the sessions.
func (k *link) redialUntilDone(ctx, dialCtx context.Context) {
	delay := minRedialDelay
	for dialCtx.Err() == nil {
		if k.connectAndServe(ctx, dialCtx) {
			delay = minRedialDelay
		}
		timekeeper.Sleep(dialCtx, delay)
		delay = min(maxRedialDelay, 2*delay)
	}
}

// send sends a call and waits for its reply until replyMargin after its deadline.
func (k *link) send(ctx context.Context, c *exchanger.Call) (*exchanger.Reply, *exchanger.Refusal) {
	number, e := k.beginExchange(&exchange{idempotent: c.Idempotent, hasDataFrames: c.BodyBytes() > maxFrameBodyBytes})
	if e == nil {
		return nil, unreachableRefusal(k.member.Name)
	}
	now := k.linker.clock.Now()
	if !e.session.enqueue(callFrames(number, c, now)...) {
		k.abandonExchange(number)
		return nil, unreachableRefusal(k.member.Name)
	}
	if r, ended := e.await(ctx.Done(), c.Deadline.Sub(now)+replyMargin); ended {
		return r.reply, r.refusal
	}
	if exchanger.Stopping(ctx) && !e.session.isQueued(number) {
		// The caller still waits, and only the other node knows whether the call has run.
		e.session.dropData(number)
		e.session.enqueue(&framer.Frame{Number: number, Cancel: true})
		if r, ended := e.await(nil, cancelTimeout); ended {
			return r.reply, r.refusal
		}
	}
	k.abandonExchange(number)
	select {
	case r := <-e.done:
		return r.reply, r.refusal
	default:
	}
	if e.session.withdraw(number) {
		return nil, unsentRefusal(ctx, k.member.Name)
	}
	e.session.enqueue(&framer.Frame{Number: number, Cancel: true})
	if ctx.Err() != nil {
		return nil, exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonCanceled, "the request was canceled while it ran")
	}
	return nil, exchanger.Unknown(http.StatusGatewayTimeout, exchanger.ReasonDeadline, "no answer from node %s in time", k.member.Name)
}

// await returns the result of the exchange, unless done is closed or the timeout ends before.
func (e *exchange) await(done <-chan struct{}, timeout time.Duration) (r result, ended bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r = <-e.done:
		return r, true
	case <-done:
	case <-timer.C:
	}
	return result{}, false
}

// unsentRefusal returns the refusal of a call that was not sent before its deadline or
// before ctx ended.
func unsentRefusal(ctx context.Context, name string) *exchanger.Refusal {
	if ctx.Err() != nil {
		return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonCanceled, "the caller went away")
	}
	return exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonDeadline, "the deadline passed before the call was sent to node %s", name)
}

// start connects in the background until ctx ends or stop is called. It returns at once.
func (k *link) start(ctx context.Context) {
	ctx, k.cancel = context.WithCancel(ctx)
	dialCtx, stopDialing := context.WithCancel(ctx)
	k.stopDialing = stopDialing
	k.failures.Store(0)
	k.linker.goroutines.Go(func() { k.redialUntilDone(ctx, dialCtx) })
}

// stop ends the sessions, with the exchanges that are pending on them, and further attempts
// to connect.
func (k *link) stop() {
	k.cancel()
	if s := k.current.Swap(nil); s != nil {
		k.linker.peersVersion.Add(1)
		s.close()
	}
}

// handleFrame handles a frame from the other node.
func (k *link) handleFrame(s *session, f *framer.Frame) {
	if f.GetNews() != nil {
		k.linker.handleNews(s, f.GetNews(), f.GetNews().GetName() == k.member.Name)
	}
	if f.GetLoad() != nil {
		k.closed.Store(f.GetLoad().GetClosed())
	}
	if toPosition(f) != (director.Position{}) {
		k.recordDirectoryReachable(f.GetFollows())
	}
	k.linker.handleCommonFields(s, k.member, f)
	if f.GetReply() != nil || f.GetRefusal() != nil || f.GetData() != nil || f.GetGrant() != 0 {
		k.completeExchange(f)
	}
}

// refuseUnsent ends the exchange whose first frame can't be encoded. Its request has not run.
func (k *link) refuseUnsent(f *framer.Frame, err error) {
	k.linker.logger.Warnf("message %d to node %s not sent: %v", f.GetNumber(), k.member.Name, err)
	if f.GetRun() == nil && f.GetAsk() == nil {
		return
	}
	refusal := exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonUnreachable, "the call can't be sent to node %s: %v", k.member.Name, err)
	k.completeExchange(&framer.Frame{Number: f.GetNumber(), Refusal: fromRefusal(refusal)})
}

// completeExchange ends the exchange that the frame answers, once the answer is whole.
func (k *link) completeExchange(f *framer.Frame) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.pending[f.GetNumber()]
	if e == nil {
		return
	}
	reserved := true
	now := k.linker.clock.Now()
	if reply := toReply(f); reply != nil {
		e.partialReply = reply
		if f.GetMore() {
			e.body.release()
			reserved = e.body.begin(k.linker.account, now, f.GetReply().GetBodyBytes(), int64(len(reply.Body)), 0)
		}
	} else if e.partialReply != nil {
		reserved = e.body.add(now, int64(len(f.GetData())))
		appendBodyPart(&e.partialReply.Body, &e.partialReply.MoreBody, f.GetData())
	}
	if f.GetMore() && reserved {
		return
	}
	k.removeExchange(f.GetNumber(), e)
	k.closeRetiredIfIdle(e.session)
	if !reserved {
		k.linker.RefusedForMemory.Add(1)
		e.done <- result{refusal: exchanger.LocalMemoryShort("memory is short for the answer of node %s", k.member.Name)}
		return
	}
	r := result{reply: e.partialReply, refusal: toRefusal(f), grantedMilliTokens: min(max(0, f.GetGrant()), e.askedMilliTokens)}
	if r.reply == nil && r.refusal == nil && f.GetGrant() == 0 {
		r.refusal = exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonBroken, "the answer of node %s has no reply", k.member.Name)
	}
	e.done <- r
}
