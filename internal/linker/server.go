package linker

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/flamingotack/flamingotack/internal/dialer"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/framer"
)

// acceptPause is how long after a failure the next link is accepted.
const acceptPause = 10 * time.Millisecond

type (
	// taker serves the streams of other nodes.
	taker struct {
		linker *Linker
		socket net.Conn
	}

	// runs are the calls of one session that run here.
	runs struct {
		taker   *taker
		session *session
		ctx     context.Context
		running sync.WaitGroup

		// told is when news were last sent, loaded when at least the load was, and
		// fansCount the linker's when news were. The linker's lock guards them.
		told, loaded time.Time
		fansCount    uint64

		mu sync.Mutex
		// member is the other node, once it has told its name.
		member  Member
		cancels map[uint64]context.CancelFunc
		partial map[uint64]*exchanger.Call
	}
)

func serve(ctx context.Context, l *Linker, listener net.Listener) error {
	var serving sync.WaitGroup
	defer serving.Wait()
	for {
		socket, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			l.logger.Warnf("Can't accept a link: %v.", err)
			time.Sleep(acceptPause)
			continue
		}
		serving.Go(func() { l.serveConn(ctx, socket) })
	}
}

func (l *Linker) serveConn(ctx context.Context, socket net.Conn) {
	defer socket.Close()
	mux := drpcmux.New()
	if err := framer.DRPCRegisterMesh(mux, &taker{linker: l, socket: socket}); err != nil {
		l.logger.Errorf("Can't serve links: %v.", err)
		return
	}
	if tcp, ok := socket.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(dialer.KeepAliveConfig())
	}
	_ = drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()}).ServeOne(ctx, socket)
}

// Link serves the drpc call of that name.
func (t *taker) Link(stream framer.DRPCMesh_LinkStream) error {
	s := newSession(t.linker.clock, stream, func() { t.socket.Close() })
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	r := &runs{
		taker:   t,
		session: s,
		ctx:     ctx,
		cancels: map[uint64]context.CancelFunc{},
		partial: map[uint64]*exchanger.Call{},
	}
	go s.write()
	s.read(r.take)
	s.close()
	t.linker.unserve(r)
	cancel()
	r.running.Wait()
	return nil
}

// serve tells the news to a node that has set a session up, and from then on what
// changes.
func (l *Linker) serve(r *runs) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	r.told, r.loaded, r.fansCount = now.Add(firstNews-newsInterval), now, l.fansCount
	l.served[r] = struct{}{}
	r.session.put(l.fullNews())
}

func (l *Linker) unserve(r *runs) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.served, r)
}

// take takes a frame of the other node.
func (r *runs) take(f *framer.Frame) {
	l := r.taker.linker
	if f.GetNews() != nil {
		first := r.member.Name == ""
		if first {
			r.member = toMember(f.GetNews())
		}
		l.takeNews(r.session, f.GetNews(), true)
		if first {
			l.serve(r)
		}
	}
	l.takeFacts(r.session, r.member, f)
	switch {
	case f.GetRun() != nil, f.GetData() != nil:
		r.begin(f)
	case f.GetCancel():
		r.cancel(f.GetNumber())
	case f.GetAsk().GetHeld():
		r.grant(f)
	case f.GetAsk() != nil:
		r.running.Go(func() { r.grant(f) })
	}
}

// grant answers a node that asks for tokens.
func (r *runs) grant(f *framer.Frame) {
	a := f.GetAsk()
	granted := r.taker.linker.handlers.GrantTokens(r.ctx, a.GetCustomer(), a.GetTokens(), a.GetHeld())
	if granted <= 0 {
		granted = -1
	}
	r.session.put(&framer.Frame{Number: f.GetNumber(), Grant: granted})
}

// begin starts a call once it is whole.
func (r *runs) begin(f *framer.Frame) {
	number := f.GetNumber()
	c := r.partial[number]
	if f.GetRun() != nil {
		c = toCall(f.GetRun(), r.taker.linker.clock.Now())
	} else if c != nil {
		c.Body = append(c.Body, f.GetData()...)
	}
	if c == nil {
		return
	}
	if f.GetMore() {
		r.partial[number] = c
		return
	}
	delete(r.partial, number)
	ctx, cancel := context.WithDeadline(r.ctx, c.Deadline.Add(replyMargin/2))
	r.mu.Lock()
	r.cancels[number] = cancel
	r.mu.Unlock()
	r.running.Go(func() { r.run(ctx, number, c) })
}

func (r *runs) cancel(number uint64) {
	delete(r.partial, number)
	r.mu.Lock()
	defer r.mu.Unlock()
	if cancel := r.cancels[number]; cancel != nil {
		cancel()
	}
}

func (r *runs) run(ctx context.Context, number uint64, c *exchanger.Call) {
	l := r.taker.linker
	reply, refusal := l.handlers.CallHandler.HandleCall(ctx, c)
	r.mu.Lock()
	r.cancels[number]()
	delete(r.cancels, number)
	r.mu.Unlock()
	load := fromLoad(l.handlers.Load())
	if refusal != nil {
		r.session.put(&framer.Frame{Number: number, Refusal: fromRefusal(refusal), Load: load})
		return
	}
	reply.ServerNode = l.self.Name
	frames := fromReply(number, reply)
	frames[0].Load = load
	r.session.put(frames...)
}
