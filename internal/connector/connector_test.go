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

// servePings serves pings on a free port until the test ends, without TLS if s is
// nil.
func servePings(tb testing.TB, s *securer.CertReloader) (address string) {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	address = l.Addr().String()
	if s != nil {
		l = s.WrapListener(l)
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

// slowServer answers a Vouch call only when it is canceled.
type slowServer struct {
	pingServer
}

func (*slowServer) Vouch(ctx context.Context, _ *messenger.VouchRequest) (*messenger.VouchResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// countingListener counts accepted connections.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return conn, err
}

func TestCanceledCallsKeepConnection(t *testing.T) {
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
	if got := counting.accepted.Load(); got != 1 {
		t.Errorf("got %d connections for %d canceled calls, want 1", got, calls)
	}
}

func TestSurplusIdleConnectionsAreClosed(t *testing.T) {
	const surge = 20
	address := servePings(t, nil)
	c := New("127.0.0.1:0")
	defer c.Close()
	var conns []*Connection
	for range surge {
		conn, err := c.Connect(t.Context(), address)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	for _, conn := range conns {
		conn.Release(true)
	}
	toPing := c.takeConnsToPing(time.Now().Add(surplusIdleTimeout + time.Second))
	if got := len(toPing[address]); got != maxSpareConnsPerNode {
		t.Errorf("got %d idle connections kept after a surge of %d, want %d", got, surge, maxSpareConnsPerNode)
	}
}

// hasIdle reports whether a connection is ready for the next call.
func (c *Connector) hasIdle(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.idleConns[address], func(i *idleConn) bool { return isClosed(i.conn.Unblocked()) })
}

func newCertReloader(tb testing.TB) *securer.CertReloader {
	tb.Helper()
	directory := tb.TempDir()
	a, err := emulator.NewCertificateAuthority("nodes")
	if err != nil {
		tb.Fatal(err)
	}
	var f securer.Files
	if f.CAFile, err = a.WriteCertificate(directory); err != nil {
		tb.Fatal(err)
	}
	if f.CertFile, f.KeyFile, err = a.IssueCertificate(directory, "node"); err != nil {
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
	secured := newCertReloader(b)
	tests := []struct {
		name   string
		secure *securer.CertReloader
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
				c.SecureConn = tt.secure.ClientHandshake
			}
			defer c.Close()
			if err := ping(b.Context(), c, address); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if tt.fresh {
					c.closeIdle(address)
				}
				if err := ping(b.Context(), c, address); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func TestUntrustedCertificateIsDialError(t *testing.T) {
	address := servePings(t, newCertReloader(t))
	c := New("127.0.0.1:0")
	c.SecureConn = newCertReloader(t).ClientHandshake
	defer c.Close()
	_, err := c.Connect(t.Context(), address)
	var dial *DialError
	if !errors.As(err, &dial) {
		t.Errorf("got error %v, want a DialError, which means that nothing was sent", err)
	}
}

// TestSlowConnectionIsKeptForLaterCalls guards against calls that never succeed
// because each times out before its connection is set up and then discards it.
func TestSlowConnectionIsKeptForLaterCalls(t *testing.T) {
	const setupTime, callTimeout = 50 * time.Millisecond, 20 * time.Millisecond
	address := servePings(t, nil)
	c := New("127.0.0.1:0")
	t.Cleanup(c.Close)
	c.SecureConn = func(ctx context.Context, conn net.Conn) (net.Conn, error) {
		select {
		case <-time.After(setupTime):
			return conn, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	deadline := time.Now().Add(testTimeout)
	for {
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
		conn, err := c.Connect(ctx, address)
		cancel()
		if err == nil {
			conn.Release(true)
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("got error %v for %s, want a connection", err, testTimeout)
		}
	}
}
