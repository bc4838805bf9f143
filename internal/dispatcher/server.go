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

const maxPartBytes = 32 << 10

type (
	// Server runs requests of other nodes on the backend server of this node. It
	// is safe for concurrent use.
	Server struct {
		// Clock provides the current time.
		Clock timekeeper.Clock
		// Handler runs the requests.
		Handler exchanger.Handler
		// Incarnation is the incarnation of this node.
		Incarnation string
		// LocalLoad returns the load report of this node's backend server.
		LocalLoad func() *messenger.Load
	}

	// partSender sends parts and, between them, keepalives.
	partSender struct {
		mu         sync.Mutex
		stream     messenger.DRPCNode_RunStream
		lastSentAt time.Time
		err        error
	}
)

// Run serves the DRPC call Run. The error is that of the stream.
func (s *Server) Run(m *messenger.RunRequest, stream messenger.DRPCNode_RunStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	p := &partSender{stream: stream}
	go p.keepAlive(ctx, cancel)
	return s.serve(ctx, m, p)
}

func (s *Server) serve(ctx context.Context, m *messenger.RunRequest, p *partSender) error {
	if m.GetIncarnation() != s.Incarnation {
		return s.sendRefusal(p, exchanger.NotRun(http.StatusServiceUnavailable, exchanger.ReasonUnreachable, "the node was replaced"))
	}
	r, err := DecodeRequest(m, s.Clock.Now())
	if err != nil {
		return s.sendRefusal(p, exchanger.NotRun(http.StatusBadRequest, exchanger.ReasonHeaders, "%v", err))
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	answer, err := s.Handler.Handle(ctx, r)
	if err != nil {
		return s.sendRefusal(p, exchanger.AsRefusal(err))
	}
	defer answer.Body.Close()
	return s.sendAnswer(p, answer)
}

func (s *Server) sendRefusal(p *partSender, r *exchanger.Refusal) error {
	return p.send(&messenger.RunPart{Refusal: EncodeRefusal(r), Load: s.LocalLoad()})
}

// sendAnswer sends the answer. A short answer takes a single message.
func (s *Server) sendAnswer(p *partSender, answer *exchanger.Answer) error {
	part := &messenger.RunPart{Head: &messenger.RunHead{
		Status: int32(answer.Status),
		Header: EncodeHeader(answer.Header),
	}}
	bodyBytes := uint64(0)
	for {
		data, err := readPart(answer.Body)
		bodyBytes += uint64(len(data))
		part.Data = data
		if errors.Is(err, io.EOF) {
			part.Tail = &messenger.RunTail{Length: bodyBytes, Unused: uint32(max(0, answer.UnusedRetries()))}
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
		if time.Since(p.lastSent()) < keepaliveInterval {
			continue
		}
		if err := p.send(&messenger.RunPart{}); err != nil {
			cancel()
			return
		}
	}
}

func (p *partSender) lastSent() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastSentAt
}

func (p *partSender) send(part *messenger.RunPart) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return p.err
	}
	p.lastSentAt = time.Now()
	p.err = p.stream.Send(part)
	return p.err
}

// readPart calls Read at most twice. The second call reads the end of a short
// body, so that the answer fits into one message.
func readPart(r io.Reader) (data []byte, err error) {
	data = make([]byte, maxPartBytes)
	n, err := r.Read(data)
	if err != nil {
		return data[:n], err
	}
	if n < maxPartBytes {
		more, err := r.Read(data[n:])
		return data[:n+more], err
	}
	return data[:n], nil
}
