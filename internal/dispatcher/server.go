package dispatcher

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/messenger"
	"github.com/flamingotack/flamingotack/internal/timekeeper"
)

const partBytes = 32 << 10

type (
	// Server runs the requests of other nodes on the backend server beside
	// this one. It is safe for concurrent use.
	Server struct {
		// Clock tells the time.
		Clock timekeeper.Clock
		// Handler runs the requests.
		Handler exchanger.Handler
		// Incarnation is that of this node.
		Incarnation string
		// Load returns what this node tells about its backend server.
		LocalLoad func() *messenger.Load
	}

	// partSender sends parts and, while there are none, keepalives.
	partSender struct {
		mu     sync.Mutex
		stream messenger.DRPCNode_RunStream
		sent   time.Time
		err    error
	}
)

// Run serves the drpc call of that name.
func (s *Server) Run(m *messenger.RunRequest, stream messenger.DRPCNode_RunStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	p := &partSender{stream: stream}
	go p.keepAlive(ctx, cancel)
	return s.serve(ctx, m, p)
}

func (s *Server) serve(ctx context.Context, m *messenger.RunRequest, p *partSender) error {
	if m.GetIncarnation() != s.Incarnation {
		return s.refuse(p, exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonUnreachable, "the node was replaced"))
	}
	r, err := DecodeRequest(m, s.Clock.Now())
	if err != nil {
		return s.refuse(p, exchanger.NotRun(http.StatusBadRequest, exchanger.ReasonHeaders, "%v", err))
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	answer, err := s.Handler.Handle(ctx, r)
	if err != nil {
		return s.refuse(p, exchanger.AsRefusal(err))
	}
	defer answer.Body.Close()
	return s.relay(p, answer)
}

func (s *Server) refuse(p *partSender, r *exchanger.Refusal) error {
	return p.send(&messenger.RunPart{Refusal: EncodeRefusal(r), Load: s.LocalLoad()})
}

// relay sends the answer. A short one takes a single message.
func (s *Server) relay(p *partSender, answer *exchanger.Answer) error {
	part := &messenger.RunPart{Head: &messenger.RunHead{
		Status: int32(answer.Status),
		Header: EncodeHeader(answer.Header),
	}}
	length := uint64(0)
	for {
		data, err := readPart(answer.Body)
		length += uint64(len(data))
		part.Data = data
		if errors.Is(err, io.EOF) {
			part.Tail = &messenger.RunTail{Length: length, Unused: uint32(max(0, answer.UnusedRetries()))}
			part.Load = s.LocalLoad()
			return p.send(part)
		}
		if err != nil {
			part.Refusal = EncodeRefusal(exchanger.AsRefusal(err))
			part.Load = s.LocalLoad()
			return p.send(part)
		}
		if err := p.send(part); err != nil {
			return err
		}
		part = &messenger.RunPart{}
	}
}

func (p *partSender) keepAlive(ctx context.Context, cancel context.CancelFunc) {
	ticker := time.NewTicker(keepaliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if time.Since(p.last()) < keepaliveInterval {
			continue
		}
		if err := p.send(&messenger.RunPart{}); err != nil {
			cancel()
			return
		}
	}
}

func (p *partSender) last() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sent
}

func (p *partSender) send(part *messenger.RunPart) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return p.err
	}
	p.sent = time.Now()
	p.err = p.stream.Send(part)
	return p.err
}

// readPart reads at most twice, which takes in the end of a short body, so
// that the answer fits one message.
func readPart(r io.Reader) (data []byte, err error) {
	data = make([]byte, partBytes)
	n, err := r.Read(data)
	if err != nil {
		return data[:n], err
	}
	if n < partBytes {
		more, err := r.Read(data[n:])
		return data[:n+more], err
	}
	return data[:n], nil
}
