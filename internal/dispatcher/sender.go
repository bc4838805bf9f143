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
	// keepaliveInterval is how often a node that runs a request sends a message
	// to show that the connection works.
	keepaliveInterval = 250 * time.Millisecond
	// silenceTimeout is how long a connection may carry no message before it
	// counts as silent.
	silenceTimeout = time.Second
)

type (
	// Sender runs requests on other nodes. It is safe for concurrent use.
	Sender struct {
		// Clock provides the current time.
		Clock timekeeper.Clock
		// Connector provides connections to the nodes.
		Connector *connector.Connector
		// OnLoad receives the load reports of other nodes about their backend
		// servers. It must not be nil.
		OnLoad func(*messenger.Load)
		// Self is the sending node.
		Self *messenger.Member
		// ConfigVersion returns the version of the configuration in force.
		ConfigVersion func() uint64
	}

	// remoteBody is the body of an answer that is received in parts.
	remoteBody struct {
		cancel       context.CancelFunc
		conn         *connector.Connection
		onLoad       func(*messenger.Load)
		silent       atomic.Bool
		stream       messenger.DRPCNode_RunClient
		silenceTimer *time.Timer

		unread []byte
		err    error
		// received reports whether the other node has sent a message.
		received      bool
		receivedBytes uint64
		unusedRetries int
	}
)

// Send runs r on the node m. The error is a *exchanger.Refusal.
func (s *Sender) Send(ctx context.Context, m folder.Member, r *exchanger.Request) (*exchanger.Answer, error) {
	conn, err := s.Connector.Connect(ctx, m.PeerAddress)
	if err != nil {
		return nil, exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonUnreachable, "node %s can't be reached", m.Name)
	}
	ctx, cancel := context.WithCancel(ctx)
	request := EncodeRequest(r, s.Clock.Now())
	request.Version = s.ConfigVersion()
	request.Sender = s.Self
	request.Incarnation = m.Incarnation
	b := &remoteBody{cancel: cancel, conn: conn, onLoad: s.OnLoad}
	b.silenceTimer = time.AfterFunc(silenceTimeout, b.cancelSilent)
	b.stream, err = conn.Run(ctx, request)
	if err != nil {
		b.fail()
		return nil, brokenConnection(ctx, m)
	}
	return b.awaitAnswer(ctx, m)
}

// Close releases the connection. It cancels a body that has not ended.
func (b *remoteBody) Close() error {
	if b.conn == nil {
		return nil
	}
	b.silenceTimer.Stop()
	b.cancel()
	if b.silent.Load() || b.received {
		b.conn.Release(!b.silent.Load())
	} else {
		b.conn.ReleaseAfterPing()
	}
	b.conn = nil
	return nil
}

// Read reads the body. An error other than io.EOF is a *exchanger.Refusal.
func (b *remoteBody) Read(p []byte) (n int, err error) {
	for len(b.unread) == 0 && b.err == nil {
		b.receiveNext()
	}
	if len(b.unread) == 0 {
		return 0, b.err
	}
	n = copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// awaitAnswer waits for the head of the answer. The error is a
// *exchanger.Refusal.
func (b *remoteBody) awaitAnswer(ctx context.Context, m folder.Member) (*exchanger.Answer, error) {
	for {
		part, err := b.receive()
		switch {
		case err != nil:
			b.fail()
			return nil, brokenConnection(ctx, m)
		case part.GetRefusal() != nil:
			b.finishStream()
			return nil, DecodeRefusal(part.GetRefusal())
		case part.GetHead() != nil:
			b.applyPart(part)
			return &exchanger.Answer{
				Status:        int(part.GetHead().GetStatus()),
				Header:        DecodeHeader(part.GetHead().GetHeader()),
				Body:          b,
				ServerNode:    m.Name,
				UnusedRetries: func() int { return b.unusedRetries },
			}, nil
		}
	}
}

func (b *remoteBody) fail() {
	b.err = exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonBroken, "the answer broke off between nodes")
	if b.silent.Load() {
		b.conn.ReportSilent()
	}
	_ = b.Close()
}

// cancelSilent cancels a request whose connection has become silent.
func (b *remoteBody) cancelSilent() {
	b.silent.Store(true)
	b.cancel()
}

// finishStream reads the end of the stream, so that the connection can be
// reused.
func (b *remoteBody) finishStream() {
	b.err = io.EOF
	if _, err := b.stream.Recv(); !errors.Is(err, io.EOF) {
		b.err = io.ErrUnexpectedEOF
	}
	_ = b.Close()
}

func (b *remoteBody) receiveNext() {
	part, err := b.receive()
	if err != nil {
		b.fail()
		return
	}
	b.applyPart(part)
}

func (b *remoteBody) receive() (part *messenger.RunPart, err error) {
	b.silenceTimer.Reset(silenceTimeout)
	part, err = b.stream.Recv()
	b.silenceTimer.Stop()
	if err != nil {
		return nil, err
	}
	b.received = true
	if part.GetLoad() != nil {
		b.onLoad(part.GetLoad())
	}
	return part, nil
}

func (b *remoteBody) applyPart(part *messenger.RunPart) {
	b.unread = part.GetData()
	b.receivedBytes += uint64(len(b.unread))
	switch {
	case part.GetRefusal() != nil:
		b.err = DecodeRefusal(part.GetRefusal())
	case part.GetTail() != nil && part.GetTail().GetLength() != b.receivedBytes:
		b.err = exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonBroken, "the answer is not whole")
	case part.GetTail() != nil:
		b.unusedRetries = int(part.GetTail().GetUnused())
		b.err = io.EOF
		if _, err := b.stream.Recv(); !errors.Is(err, io.EOF) {
			b.silenceTimer.Stop()
			b.cancel()
			b.conn.Release(false)
			b.conn = nil
		}
	}
}

func brokenConnection(ctx context.Context, m folder.Member) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return exchanger.Unknown(http.StatusGatewayTimeout, exchanger.ReasonDeadline, "no answer from node %s in time", m.Name)
	}
	return exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonSilent, "the connection to node %s broke or went silent", m.Name)
}
