package linker

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/flamingotack/flamingotack/internal/dialer"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/framer"
)

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 10 * time.Millisecond

type (
	// meshServer serves the drpc streams of one connection from another node.
	meshServer struct {
		linker *Linker
		conn   *inboundConn
	}

	// inboundSession is a session that another node has established, with the calls
	// that this node runs for it.
	inboundSession struct {
		server     *meshServer
		session    *session
		ctx        context.Context
		goroutines sync.WaitGroup

		// newsSentAt is when news were last sent, loadSentAt when the load was, alone
		// or with news. fanOutsVersion is the linker's when news were last sent. The
		// linker's lock guards them.
		newsSentAt, loadSentAt time.Time
		fanOutsVersion         uint64

		mu sync.Mutex
		// member is the other node, once its first news have arrived.
		member Member
		// cancelFuncs holds the cancel function of each running call by its number, and
		// partialCalls the calls of which more frames follow.
		cancelFuncs  map[uint64]context.CancelFunc
		partialCalls map[uint64]*inboundCall
	}
)

// acceptConns serves connections of other nodes until the listener is closed.
func acceptConns(ctx context.Context, l *Linker, listener net.Listener) error {
	var serving sync.WaitGroup
	defer serving.Wait()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			l.logger.Warnf("accepting a link failed: %v", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		serving.Go(func() { l.serveConn(ctx, conn) })
	}
}

// serveConn serves one connection of another node until it ends.
func (l *Linker) serveConn(ctx context.Context, socket net.Conn) {
	if tcp, ok := socket.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(dialer.KeepAliveConfig())
	}
	conn := l.handshakes.begin(socket)
	defer func() { _ = conn.Close() }()
	mux := drpcmux.New()
	if err := framer.DRPCRegisterMesh(mux, &meshServer{linker: l, conn: conn}); err != nil {
		l.logger.Errorf("registering the link service failed: %v", err)
		return
	}
	_ = drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()}).ServeOne(ctx, conn)
}

// Link serves the drpc method Mesh.Link until the stream ends. It returns nil.
func (t *meshServer) Link(stream framer.DRPCMesh_LinkStream) error {
	s := newSession(t.linker.clock, stream, func() { _ = t.conn.Close() })
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	r := &inboundSession{
		server:       t,
		session:      s,
		ctx:          ctx,
		cancelFuncs:  map[uint64]context.CancelFunc{},
		partialCalls: map[uint64]*inboundCall{},
	}
	t.linker.account.Register(&s.outgoing, nil)
	s.handleUnsent = r.refuseUnsent
	s.account = t.linker.account
	go s.writeFrames()
	s.readFrames(r.handleFrame)
	s.close()
	t.linker.removeInbound(r)
	r.dropPartialCalls()
	cancel()
	r.goroutines.Wait()
	return nil
}

// addInbound sends the full news over a new inbound session and registers it for further
// updates.
func (l *Linker) addInbound(r *inboundSession) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	r.newsSentAt, r.loadSentAt, r.fanOutsVersion = now.Add(secondNewsDelay-newsInterval), now, l.fanOutsVersion
	l.inbound[r] = struct{}{}
	r.session.enqueue(l.fullNewsFrame())
}

// removeInbound unregisters an inbound session.
func (l *Linker) removeInbound(r *inboundSession) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.inbound, r)
}

// handleFrame handles a frame from the other node.
func (r *inboundSession) handleFrame(f *framer.Frame) {
	l := r.server.linker
	if f.GetNews() != nil {
		first := r.member.Name == ""
		if first {
			r.member = toMember(f.GetNews())
		}
		if first && r.member.Name != "" {
			r.server.conn.completeHandshake()
		}
		l.handleNews(r.session, f.GetNews(), true)
		if first {
			l.addInbound(r)
		}
	}
	l.handleCommonFields(r.session, r.member, f)
	switch {
	case f.GetRun() != nil, f.GetData() != nil:
		r.beginCall(f)
	case f.GetCancel():
		r.cancelCall(f.GetNumber())
	case f.GetAsk().GetHeld():
		r.grantTokens(f)
	case f.GetAsk() != nil:
		r.goroutines.Go(func() { r.grantTokens(f) })
	}
}

// grantTokens answers a request for tokens. A grant of -1 on the wire stands for none, as a
// grant of 0 does not count as an answer.
func (r *inboundSession) grantTokens(f *framer.Frame) {
	a := f.GetAsk()
	granted := r.server.linker.handlers.GrantTokens(r.ctx, a.GetCustomer(), a.GetTokens(), a.GetHeld())
	if granted <= 0 {
		granted = -1
	}
	r.session.enqueue(&framer.Frame{Number: f.GetNumber(), Grant: granted})
}

// beginCall collects the frames of a call and starts it once it is whole.
func (r *inboundSession) beginCall(f *framer.Frame) {
	c := r.assembleCall(f)
	if c == nil {
		return
	}
	number := f.GetNumber()
	ctx, cancel := context.WithDeadline(r.ctx, c.Deadline.Add(replyMargin/2))
	if !r.registerCall(number, cancel) {
		cancel()
		c.body.release()
		r.server.linker.logger.Warnf("call %s from node %s ignored, a call with number %d runs", c.ID, r.member.Name, number)
		return
	}
	r.goroutines.Go(func() { r.runCall(ctx, number, c) })
}

// registerCall registers the cancel function of a call that is about to run, and reports
// whether no call with its number runs.
func (r *inboundSession) registerCall(number uint64, cancel context.CancelFunc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, taken := r.cancelFuncs[number]; taken {
		return false
	}
	r.cancelFuncs[number] = cancel
	return true
}

// cancelCall ends a call whose caller does not await the answer any more.
func (r *inboundSession) cancelCall(number uint64) {
	if c := r.partialCalls[number]; c != nil {
		delete(r.partialCalls, number)
		c.body.release()
		refusal := exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonCanceled, "the call was canceled before it had arrived")
		r.session.enqueue(&framer.Frame{Number: number, Refusal: fromRefusal(refusal)})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if cancel := r.cancelFuncs[number]; cancel != nil {
		cancel()
	}
}

// runCall runs a call and sends its reply or refusal, together with the load.
func (r *inboundSession) runCall(ctx context.Context, number uint64, c *inboundCall) {
	l := r.server.linker
	// The call counts as running until its answer is queued.
	defer r.endCall(number)
	reply, refusal := l.handlers.CallHandler.HandleCall(ctx, c.Call)
	if refusal != nil {
		c.body.release()
		r.session.enqueue(&framer.Frame{Number: number, Refusal: fromRefusal(refusal), Load: fromLoad(l.handlers.Load())})
		return
	}
	r.sendReply(number, c, reply)
}

// refuseUnsent answers a call whose answer can't be encoded. The call may have run.
func (r *inboundSession) refuseUnsent(f *framer.Frame, err error) {
	r.server.linker.logger.Warnf("message %d to a node that has connected not sent: %v", f.GetNumber(), err)
	if f.GetReply() == nil && f.GetRefusal() == nil {
		return
	}
	refusal := exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonBroken, "the answer can't be sent: %v", err)
	r.session.enqueue(&framer.Frame{Number: f.GetNumber(), Refusal: fromRefusal(refusal)})
}

// endCall releases what belongs to a call whose answer is queued.
func (r *inboundSession) endCall(number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelFuncs[number]()
	delete(r.cancelFuncs, number)
}

// idle reports whether no call of the other node runs and all answers have been sent.
func (r *inboundSession) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.cancelFuncs) == 0 && r.session.allSent()
}
