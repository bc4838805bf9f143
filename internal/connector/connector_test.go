package connector

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/flamingotack/flamingotack/internal/emulator"
	"github.com/flamingotack/flamingotack/internal/messenger"
	"github.com/flamingotack/flamingotack/internal/securer"
)

const testTimeout = 30 * time.Second

// pingServer answers pings only.
type pingServer struct {
	messenger.DRPCNodeUnimplementedServer
}

func (*pingServer) Ping(context.Context, *messenger.PingRequest) (*messenger.PingResponse, error) {
	return &messenger.PingResponse{}, nil
}

// servePings serves on a free port until the test ends. s is nil for no TLS.
func servePings(tb testing.TB, s *securer.Securer) (address string) {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	address = l.Addr().String()
	if s != nil {
		l = s.Listen(l)
	}
	mux := drpcmux.New()
	if err := messenger.DRPCRegisterNode(mux, &pingServer{}); err != nil {
		tb.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = drpcserver.New(mux).Serve(ctx, l)
	}()
	tb.Cleanup(func() {
		stop()
		<-done
	})
	return address
}

// slowServer answers a ping when its caller gives up.
type slowServer struct {
	pingServer
}

func (*slowServer) Vouch(ctx context.Context, _ *messenger.VouchRequest) (*messenger.VouchResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// countingListener counts the connections.
type countingListener struct {
	net.Listener
	count atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.count.Add(1)
	}
	return conn, err
}

func TestCanceledCallsKeepTheirConnection(t *testing.T) {
	const calls = 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counting := &countingListener{Listener: l}
	mux := drpcmux.New()
	if err := messenger.DRPCRegisterNode(mux, &slowServer{}); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = drpcserver.New(mux).Serve(ctx, counting) }()
	c := New("127.0.0.1:0")
	defer c.Close()
	for range calls {
		_, err := Call(ctx, c, l.Addr().String(), 10*time.Millisecond, func(ctx context.Context, n messenger.DRPCNodeClient) (*messenger.VouchResponse, error) {
			return n.Vouch(ctx, &messenger.VouchRequest{})
		})
		if err == nil {
			t.Fatal("slow call: got an answer, want a timeout")
		}
		deadline := time.Now().Add(time.Minute)
		for !c.hasIdle(l.Addr().String()) && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
	}
	if got := counting.count.Load(); got != 1 {
		t.Errorf("got %d connections for %d canceled calls, want 1", got, calls)
	}
}

func TestSurplusOfASurgeIsClosed(t *testing.T) {
	const surge = 20
	address := servePings(t, nil)
	c := New("127.0.0.1:0")
	defer c.Close()
	var links []*Link
	for range surge {
		link, err := c.Link(t.Context(), address)
		if err != nil {
			t.Fatal(err)
		}
		links = append(links, link)
	}
	for _, l := range links {
		l.Release(true)
	}
	due := c.due(time.Now().Add(surplusLimit + time.Second))
	if got := len(due[address]); got != spareIdle {
		t.Errorf("got %d connections kept after a surge of %d, want %d", got, surge, spareIdle)
	}
}

// hasIdle reports whether a connection is ready for the next call.
func (c *Connector) hasIdle(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.idle[address], func(i *idleConn) bool { return isClosed(i.conn.Unblocked()) })
}

func newSecurer(tb testing.TB) *securer.Securer {
	tb.Helper()
	directory := tb.TempDir()
	a, err := emulator.NewCertificateAuthority("nodes")
	if err != nil {
		tb.Fatal(err)
	}
	var f securer.Files
	if f.Authority, err = a.WriteCertificate(directory); err != nil {
		tb.Fatal(err)
	}
	if f.Cert, f.Key, err = a.IssueCertificate(directory, "node"); err != nil {
		tb.Fatal(err)
	}
	s, err := securer.New(f, func(err error) { tb.Errorf("warned: %v", err) })
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

func ping(ctx context.Context, c *Connector, address string) error {
	_, err := Call(ctx, c, address, testTimeout, func(ctx context.Context, n messenger.DRPCNodeClient) (*messenger.PingResponse, error) {
		return n.Ping(ctx, &messenger.PingRequest{})
	})
	return err
}

func BenchmarkCall(b *testing.B) {
	secured := newSecurer(b)
	tests := []struct {
		name   string
		secure *securer.Securer
		fresh  bool
	}{
		{"plain", nil, false},
		{"secure", secured, false},
		{"plain on a new connection", nil, true},
		{"secure on a new connection", secured, true},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			address := servePings(b, tt.secure)
			c := New("127.0.0.1:0")
			if tt.secure != nil {
				c.Secure = tt.secure.Client
			}
			defer c.Close()
			if err := ping(b.Context(), c, address); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if tt.fresh {
					c.forget(address)
				}
				if err := ping(b.Context(), c, address); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func TestServerWithForeignCertificateIsADialError(t *testing.T) {
	address := servePings(t, newSecurer(t))
	c := New("127.0.0.1:0")
	c.Secure = newSecurer(t).Client
	defer c.Close()
	_, err := c.Link(t.Context(), address)
	var dial *DialError
	if !errors.As(err, &dial) {
		t.Errorf("got %v, want a DialError, so that nothing was sent", err)
	}
}

// TestSlowConnectionsServeLaterCalls guards against calls that never get through, as
// each gives up sooner than a connection is set up and throws it away.
func TestSlowConnectionsServeLaterCalls(t *testing.T) {
	const setup, patience = 50 * time.Millisecond, 20 * time.Millisecond
	address := servePings(t, nil)
	c := New("127.0.0.1:0")
	t.Cleanup(c.Close)
	c.Secure = func(ctx context.Context, conn net.Conn) (net.Conn, error) {
		select {
		case <-time.After(setup):
			return conn, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	deadline := time.Now().Add(testTimeout)
	for {
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		link, err := c.Link(ctx, address)
		cancel()
		if err == nil {
			link.Release(true)
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("got error %v for %s, want a connection", err, testTimeout)
		}
	}
}
