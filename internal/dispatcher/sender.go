package dispatcher

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/connector"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/messenger"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const (
	// keepaliveInterval is how often a node that runs a request shows that
	// the connection still carries messages.
	keepaliveInterval = 250 * time.Millisecond
	// silenceLimit is how long a connection may carry nothing before it
	// counts as silent.
	silenceLimit = time.Second
)

type (
	// Sender runs requests on other nodes. It is safe for concurrent use.
	Sender struct {
		// Clock tells the time.
		Clock timekeeper.Clock
		// Connector keeps the connections.
		Connector *connector.Connector
		// Loads takes what guards tell about their backend servers. It is
		// never nil.
		OnLoad func(*messenger.Load)
		// Self names the sending node.
		Self *messenger.Member
		// Version returns the version of the configuration in force.
		ConfigVersion func() uint64
	}

	// remoteBody is the body of an answer that comes in parts.
	remoteBody struct {
		cancel context.CancelFunc
		link   *connector.Connection
		loads  func(*messenger.Load)
		silent atomic.Bool
		stream messenger.DRPCNode_RunClient
		timer  *time.Timer

		data []byte
		err  error
		// heard tells that the other node has sent something.
		heard  bool
		length uint64
		unused int
	}
)

// Send runs r on the node m. The error is a *exchanger.Refusal.
func (s *Sender) Send(ctx context.Context, m folder.Member, r *exchanger.Request) (*exchanger.Answer, error) {
	link, err := s.Connector.Connect(ctx, m.Peer)
	if err != nil {
		return nil, exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonUnreachable, "node %s can't be reached", m.Name)
	}
	ctx, cancel := context.WithCancel(ctx)
	request := EncodeRequest(r, s.Clock.Now())
	request.Version = s.ConfigVersion()
	request.Sender = s.Self
	request.Incarnation = m.Incarnation
	b := &remoteBody{cancel: cancel, link: link, loads: s.OnLoad}
	b.timer = time.AfterFunc(silenceLimit, b.silence)
	b.stream, err = link.Run(ctx, request)
	if err != nil {
		b.fail()
		return nil, brokenLink(ctx, m)
	}
	return b.answer(ctx, m)
}

// Close gives the connection back. A body that has not ended is canceled.
func (b *remoteBody) Close() error {
	if b.link == nil {
		return nil
	}
	b.timer.Stop()
	b.cancel()
	if b.silent.Load() || b.heard {
		b.link.Release(!b.silent.Load())
	} else {
		b.link.ReleaseAfterPing()
	}
	b.link = nil
	return nil
}

// Read reads the body. An error other than io.EOF is a *exchanger.Refusal.
func (b *remoteBody) Read(p []byte) (n int, err error) {
	for len(b.data) == 0 && b.err == nil {
		b.next()
	}
	if len(b.data) == 0 {
		return 0, b.err
	}
	n = copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// answer waits for the head.
func (b *remoteBody) answer(ctx context.Context, m folder.Member) (*exchanger.Answer, error) {
	for {
		part, err := b.receive()
		switch {
		case err != nil:
			b.fail()
			return nil, brokenLink(ctx, m)
		case part.GetRefusal() != nil:
			b.finish()
			return nil, DecodeRefusal(part.GetRefusal())
		case part.GetHead() != nil:
			b.take(part)
			return &exchanger.Answer{
				Status:        int(part.GetHead().GetStatus()),
				Header:        DecodeHeader(part.GetHead().GetHeader()),
				Body:          b,
				ServerNode:    m.Name,
				UnusedRetries: func() int { return b.unused },
			}, nil
		}
	}
}

func (b *remoteBody) fail() {
	b.err = exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonBroken, "the answer broke off between nodes")
	if b.silent.Load() {
		b.link.ReportSilent()
	}
	_ = b.Close()
}

// silence ends a request whose connection carries nothing any more.
func (b *remoteBody) silence() {
	b.silent.Store(true)
	b.cancel()
}

// finish reads the end of the stream, so that the connection can be used
// again.
func (b *remoteBody) finish() {
	b.err = io.EOF
	if _, err := b.stream.Recv(); !errors.Is(err, io.EOF) {
		b.err = io.ErrUnexpectedEOF
	}
	_ = b.Close()
}

func (b *remoteBody) next() {
	part, err := b.receive()
	if err != nil {
		b.fail()
		return
	}
	b.take(part)
}

func (b *remoteBody) receive() (part *messenger.RunPart, err error) {
	b.timer.Reset(silenceLimit)
	part, err = b.stream.Recv()
	b.timer.Stop()
	if err != nil {
		return nil, err
	}
	b.heard = true
	if part.GetLoad() != nil {
		b.loads(part.GetLoad())
	}
	return part, nil
}

func (b *remoteBody) take(part *messenger.RunPart) {
	b.data = part.GetData()
	b.length += uint64(len(b.data))
	switch {
	case part.GetRefusal() != nil:
		b.err = DecodeRefusal(part.GetRefusal())
	case part.GetTail() != nil && part.GetTail().GetLength() != b.length:
		b.err = exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonBroken, "the answer is not whole")
	case part.GetTail() != nil:
		b.unused = int(part.GetTail().GetUnused())
		b.err = io.EOF
		if _, err := b.stream.Recv(); !errors.Is(err, io.EOF) {
			b.timer.Stop()
			b.cancel()
			b.link.Release(false)
			b.link = nil
		}
	}
}

func brokenLink(ctx context.Context, m folder.Member) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return exchanger.Unknown(http.StatusGatewayTimeout, exchanger.ReasonDeadline, "no answer from node %s in time", m.Name)
	}
	return exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonSilent, "the connection to node %s broke or went silent", m.Name)
}
