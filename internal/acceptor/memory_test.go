package acceptor

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/accountant"
	"github.com/flamingotack/flamingotack/internal/logger"
)

// newAccountServer serves handle with an account of the given size and a bound of 4 MiB on
// bodies.
func newAccountServer(t *testing.T, size int64, handle func(context.Context, *Request) *Response) (server *Server, dial func() net.Conn) {
	t.Helper()
	account := accountant.New(size)
	server, dial = newConfiguredServer(t, func(s *Server) {
		s.Account = account
		s.Limits = func() Limits {
			return Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 20 * time.Second}
		}
	}, handle)
	return server, dial
}

func answerOK(context.Context, *Request) *Response {
	return &Response{Status: http.StatusOK}
}

// lineHeads are heads of nearly 16 KiB that need most memory for their bytes, by their kind.
func lineHeads() map[string]string {
	heads := map[string]func(i int) string{
		"short":    func(i int) string { return fmt.Sprintf("%x:\r\n", i) },
		"bare LF":  func(i int) string { return fmt.Sprintf("%x:1\n", i) },
		"repeated": func(int) string { return "a:\r\n" },
		"odd":      func(i int) string { return fmt.Sprintf("x-%c%x:  ,\r\n", 'a'+i%26, i) },
		"folded":   func(int) string { return "a:\r\n \r\n" },
	}
	built := map[string]string{}
	for name, line := range heads {
		var b strings.Builder
		b.WriteString("GET / HTTP/1.1\r\nHost: a\r\n")
		for i := 0; b.Len() < 16<<10-32; i++ {
			b.WriteString(line(i))
		}
		built[name] = b.String() + "\r\n"
	}
	return built
}

// TestHeadCost guards against heads that need more memory than they are charged for: many
// lines of a few bytes need many times their size.
func TestHeadCost(t *testing.T) {
	const requests = 50
	for name, head := range lineHeads() {
		var m headMeter
		charged := accountant.HeadBytes(m.add([]byte(head)))
		held := make([]*http.Request, requests)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range held {
			r, err := http.ReadRequest(bufio.NewReaderSize(strings.NewReader(head), readBufferBytes))
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			held[i] = r
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(held)
		got := (int64(after.HeapAlloc) - int64(before.HeapAlloc)) / requests
		t.Logf("%s: %d bytes of head hold %d bytes, charged %d", name, len(head), got, charged)
		if got > charged {
			t.Errorf("%s: head holds %d bytes, charged %d", name, got, charged)
		}
		if !m.ended {
			t.Errorf("%s: the end of the head was not found", name)
		}
	}
}

// TestHeadMeterFindsSameEnd guards against heads whose end depends on where reads split them.
func TestHeadMeterFindsSameEnd(t *testing.T) {
	for name, head := range lineHeads() {
		var whole, split headMeter
		wantBytes, wantLines := whole.add([]byte(head + "body\n\n\n"))
		gotBytes, gotLines := 0, 0
		for _, b := range []byte(head + "body\n\n\n") {
			headBytes, lines := split.add([]byte{b})
			gotBytes, gotLines = gotBytes+headBytes, gotLines+lines
		}
		if gotBytes != wantBytes || gotLines != wantLines || wantBytes != len(head) {
			t.Errorf("%s: got %d bytes and %d lines byte by byte, %d and %d at once, want %d bytes", name, gotBytes, gotLines, wantBytes, wantLines, len(head))
		}
	}
}

// TestHeadsOfManyLinesAreBounded guards against callers that use up memory with pipelined
// requests of many header lines: requests are refused, one alone is served, and all memory is
// released.
func TestHeadsOfManyLinesAreBounded(t *testing.T) {
	hold := make(chan struct{})
	s, dial := newAccountServer(t, 8<<20, func(_ context.Context, r *Request) *Response {
		if r.URL.Path == "/" {
			<-hold
		}
		return &Response{Status: http.StatusOK}
	})
	head := lineHeads()["short"]
	for range 4 {
		c := dial()
		go func() {
			for range 16 {
				_, _ = io.WriteString(c, head)
			}
		}()
	}
	waitFor(t, func() bool { return s.MemoryRefusals.Load() > 0 })
	c := dial()
	fmt.Fprint(c, "GET /ordinary HTTP/1.1\r\nHost: a\r\n\r\n")
	if got, _ := readResponse(t, bufio.NewReader(c), http.MethodGet); got != http.StatusOK {
		t.Errorf("got status %d for an ordinary request meanwhile, want 200", got)
	}
	close(hold)
	waitFor(t, func() bool { return s.Account.UsedBytes() == 0 })
	c = dial()
	_, _ = io.WriteString(c, head)
	if got, _ := readResponse(t, bufio.NewReader(c), http.MethodGet); got != http.StatusOK {
		t.Errorf("got status %d for one request of many lines, want 200", got)
	}
}

// TestStalledBodiesAreEvicted guards against callers that hold memory by bodies of legal size
// that stop a byte before their end: large ones, small ones and chunks. They get 503 or are
// closed, and an ordinary and a large request are served meanwhile.
func TestStalledBodiesAreEvicted(t *testing.T) {
	const size = 4 << 20
	known := func(size int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size-1))
	}
	chunks := func(size, chunk int) string {
		part := fmt.Sprintf("%x;extension=%s\r\n%s\r\n", chunk, strings.Repeat("e", 8), strings.Repeat("x", chunk))
		return "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(part, size/chunk) + "0\r\nT: 1\r"
	}
	for _, tt := range []struct {
		name, request string
		callers       int
	}{
		{"known size", known(size), 8},
		{"small", known(60 << 10), 300},
		{"chunks", chunks(size, 1<<20), 8},
		{"chunks of a few bytes", chunks(size/8, 64), 60},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, dial := newAccountServer(t, 16<<20, answerOK)
			stall := func() {
				c := dial()
				go func() { _, _ = io.WriteString(c, tt.request) }()
			}
			for range tt.callers {
				stall()
			}
			waitFor(t, func() bool { return s.Account.Refusals() > 0 })
			// Those that were refused while others still sent leave room for more.
			for deadline := time.Now().Add(20 * time.Second); s.Account.Evictions() == 0 && time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
				stall()
			}
			post := func(body int) int {
				c := dial()
				go fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", body, strings.Repeat("y", body))
				got, _ := readResponse(t, bufio.NewReader(c), http.MethodPost)
				return got
			}
			waitFor(t, func() bool { return post(100) == http.StatusOK })
			waitFor(t, func() bool { return post(size) == http.StatusOK })
			if s.Account.Evictions() == 0 {
				t.Errorf("got no evictions, want those of stalled callers")
			}
		})
	}
}

// TestVictimIsToldToRetry guards against callers that learn nothing when their body is given
// up: the request has not run, so they get 503 with Retry-After.
func TestVictimIsToldToRetry(t *testing.T) {
	s, dial := newAccountServer(t, 8<<20, answerOK)
	victim := dial()
	go fmt.Fprintf(victim, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", 4<<20, strings.Repeat("x", 3<<20))
	waitFor(t, func() bool { return s.Account.UsedBytes() >= 3<<20 })
	waitFor(t, func() bool {
		c := dial()
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", 4<<20, strings.Repeat("x", 4<<20))
		got, _ := readResponse(t, bufio.NewReader(c), http.MethodPost)
		return got == http.StatusOK && s.Account.Evictions() > 0
	})
	response, err := http.ReadResponse(bufio.NewReader(victim), nil)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("got status %d, header %v, want 503 with Retry-After", response.StatusCode, response.Header)
	}
}

// TestStalledCallersMakeRoom guards against callers that keep others out by holding all
// connections with requests that never end.
func TestStalledCallersMakeRoom(t *testing.T) {
	const connections = 20
	s, dial := newConfiguredServer(t, func(s *Server) {
		s.MaxConnections, s.MaxSockets, s.Account = connections, 2*connections, accountant.New(64<<20)
		s.Limits = func() Limits {
			return Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: 20 * time.Second, IdleTimeout: 20 * time.Second}
		}
	}, answerOK)
	most := make(chan int, 1)
	done := make(chan struct{})
	go func() {
		highest := 0
		for {
			select {
			case <-done:
				most <- highest
				return
			default:
				highest = max(highest, s.OpenConnections())
			}
			time.Sleep(time.Millisecond)
		}
	}()
	for range 5 * connections {
		fmt.Fprint(dial(), "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx")
	}
	c := dial()
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if got, _ := readResponse(t, bufio.NewReader(c), http.MethodGet); got != http.StatusOK {
		t.Errorf("got status %d behind stalled callers, want 200", got)
	}
	close(done)
	if got := <-most; got > 2*connections || s.Account.Evictions() == 0 {
		t.Errorf("got %d connections and %d evictions, want at most %d and some", got, s.Account.Evictions(), 2*connections)
	}
}

// TestRefusalBehindAbandonedRequest guards against requests that count as pending and memory
// that stays reserved after the caller has sent a request, then one that can't be read, and
// has disconnected before the first one started.
func TestRefusalBehindAbandonedRequest(t *testing.T) {
	s, dial := newAccountServer(t, 8<<20, answerOK)
	for range 100 {
		c := dial()
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nno field\r\n\r\n")
		c.Close()
	}
	waitFor(t, func() bool { return s.OpenConnections() == 0 })
	waitFor(t, func() bool { return s.PendingRequests() == 0 && s.Account.UsedBytes() == 0 })
}

// TestAnnouncedBodyCostsLittle guards against callers that announce large bodies and send
// nothing.
func TestAnnouncedBodyCostsLittle(t *testing.T) {
	s, dial := newAccountServer(t, 8<<20, answerOK)
	const callers = 20
	for range callers {
		fmt.Fprintf(dial(), "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", 4<<20)
	}
	waitFor(t, func() bool { return s.Account.UsedBytes() >= callers*accountant.WholeBodyBytes })
	if got, want := s.Account.UsedBytes(), int64(callers*(accountant.WholeBodyBytes+accountant.RequestBytes+4<<10)); got > want || s.Account.Refusals() > 0 {
		t.Errorf("got %d bytes and %d refusals for bodies of which nothing has arrived, want at most %d bytes", got, s.Account.Refusals(), want)
	}
}

// TestBodyMemory guards against bodies that arrive changed or need more than 1.2 bytes of
// memory for each of their own, of known length and in chunks.
func TestBodyMemory(t *testing.T) {
	type result struct {
		sum              [sha256.Size]byte
		size, held, used int64
	}
	results := make(chan result, 1)
	var s *Server
	s, dial := newAccountServer(t, 64<<20, func(_ context.Context, r *Request) *Response {
		var got result
		h := sha256.New()
		for _, part := range append([][]byte{r.Content}, r.MoreContent...) {
			h.Write(part)
			got.size += int64(len(part))
			got.held += int64(cap(part))
		}
		h.Sum(got.sum[:0])
		got.used = s.Account.UsedBytes()
		results <- got
		return &Response{Status: http.StatusOK}
	})
	for _, size := range []int{1, 1000, 1024, 1025, 5000, 64 << 10, 64<<10 + 1, 100_000, 1 << 20, 3_333_333, 4 << 20} {
		for _, chunk := range []int{0, 1000, 1 << 20} {
			body := bytes.Repeat([]byte("0123456789a"), size/11+1)[:size]
			c := dial()
			go func() {
				if chunk == 0 {
					fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, body)
					return
				}
				w := bufio.NewWriter(c)
				fmt.Fprint(w, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
				for rest := body; len(rest) > 0; rest = rest[min(chunk, len(rest)):] {
					part := rest[:min(chunk, len(rest))]
					fmt.Fprintf(w, "%x\r\n%s\r\n", len(part), part)
				}
				fmt.Fprint(w, "0\r\n\r\n")
				w.Flush()
			}()
			if got, _ := readResponse(t, bufio.NewReader(c), http.MethodPost); got != http.StatusOK {
				t.Fatalf("size %d in chunks of %d: got status %d, want 200", size, chunk, got)
			}
			got := <-results
			if got.sum != sha256.Sum256(body) {
				t.Errorf("size %d in chunks of %d: got another body, of %d bytes", size, chunk, got.size)
			}
			if limit := int64(1.2 * float64(size)); got.held > limit && got.held > 1<<10 {
				t.Errorf("size %d in chunks of %d: held in %d bytes, want at most %d", size, chunk, got.held, limit)
			}
			if got.used < got.held {
				t.Errorf("size %d in chunks of %d: charged %d bytes, want the %d held", size, chunk, got.used, got.held)
			}
			c.Close()
			waitFor(t, func() bool { return s.Account.UsedBytes() == 0 })
		}
	}
}

// TestUnreadResponsesAreEvicted guards against callers that hold memory by long responses that
// they do not read.
func TestUnreadResponsesAreEvicted(t *testing.T) {
	s, dial := newAccountServer(t, 64<<20, func(_ context.Context, r *Request) *Response {
		if r.URL.Path == "/short" {
			return &Response{Status: http.StatusOK, Body: []byte("ok")}
		}
		return &Response{Status: http.StatusOK, Body: make([]byte, 8<<20), MoreBody: [][]byte{make([]byte, 4<<20)}}
	})
	for range 8 {
		fmt.Fprint(dial(), "GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
	}
	waitFor(t, func() bool { return s.Account.Refusals() > 0 })
	get := func(path string) (int, string) {
		c := dial()
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", path)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0, ""
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(body)
	}
	if status, body := get("/short"); status != http.StatusOK || body != "ok" {
		t.Errorf("got status %d, body %q for a short response meanwhile, want 200, ok", status, body)
	}
	waitFor(t, func() bool {
		status, body := get("/long")
		return status == http.StatusOK && len(body) == 12<<20
	})
	if s.Account.Evictions() == 0 || s.DroppedResponses.Load() == 0 {
		t.Errorf("got %d evictions and %d connections closed, want those of callers that do not read", s.Account.Evictions(), s.DroppedResponses.Load())
	}
}

// TestResponseWithoutMemoryIsReplaced guards against a kept connection that is closed without an
// answer because memory is short for it.
func TestResponseWithoutMemoryIsReplaced(t *testing.T) {
	s, dial := newAccountServer(t, 8<<20, func(_ context.Context, r *Request) *Response {
		if r.URL.Path == "/short" {
			return &Response{Status: http.StatusOK, Body: []byte("ok")}
		}
		return &Response{Status: http.StatusOK, Body: make([]byte, 1<<20)}
	})
	var other accountant.Holder
	s.Account.Register(&other, nil)
	for other.Reserve(time.Now(), 64<<10) == accountant.Granted {
	}
	c := dial()
	reader := bufio.NewReader(c)
	for _, tt := range []struct {
		path, wantBody string
		wantStatus     int
	}{
		{"/long", "memory\n", http.StatusBadGateway},
		{"/short", "ok", http.StatusOK},
	} {
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", tt.path)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("%s: got %v, want a response over the same connection", tt.path, err)
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		if response.StatusCode != tt.wantStatus || string(body) != tt.wantBody {
			t.Errorf("%s: got status %d, body %q, want %d, %q", tt.path, response.StatusCode, body, tt.wantStatus, tt.wantBody)
		}
	}
	if got := s.DroppedResponses.Load(); got != 1 {
		t.Errorf("got %d responses dropped, want 1", got)
	}
	other.Release(other.HeldBytes())
	waitFor(t, func() bool { return s.Account.UsedBytes() == 0 })
}

// newBenchmarkServer returns a server with an account that answers each request.
func newBenchmarkServer() *Server {
	return &Server{
		Account:  accountant.New(1 << 30),
		Draining: func() bool { return false },
		Handle:   answerOK,
		Logger:   logger.New(io.Discard, "info", "n"),
		Limits: func() Limits {
			return Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 20 * time.Second}
		},
	}
}

// BenchmarkSmallRequest measures a request with a small body over one connection.
func BenchmarkSmallRequest(b *testing.B) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := newBenchmarkServer()
	go s.Serve(l)
	b.Cleanup(func() {
		l.Close()
		s.Close()
	})
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	request := []byte("POST /a HTTP/1.1\r\nHost: a\r\nX-Id: 1\r\nAuthorization: Bearer x\r\nContent-Type: text/plain\r\nUser-Agent: bench\r\nContent-Length: 200\r\n\r\n" + strings.Repeat("x", 200))
	buffer := make([]byte, 4<<10)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Write(request); err != nil {
			b.Fatal(err)
		}
		if _, err := c.Read(buffer); err != nil {
			b.Fatal(err)
		}
	}
}

// TestHeadIsNotReadOnAfterRefusal guards against heads that lose the bytes of which the
// reservation was refused, within a line, and are parsed on.
func TestHeadIsNotReadOnAfterRefusal(t *testing.T) {
	calls := 0
	server, client := net.Pipe()
	defer server.Close()
	go func() {
		defer client.Close()
		_, _ = io.WriteString(client, "GET / HTTP/1.1\r\nHost: a\r\nX: begin")
		_, _ = io.WriteString(client, "lost")
		_, _ = io.WriteString(client, "end\r\n\r\n")
	}()
	sr := newSocketReader(server)
	sr.remainingBytes = 1 << 10
	sr.onData = func([]byte) error {
		if calls++; calls == 2 {
			return errMemoryShort
		}
		return nil
	}
	if r, err := http.ReadRequest(bufio.NewReader(sr)); err == nil {
		t.Errorf("got a request with X: %q, want an error", r.Header.Get("X"))
	}
	if calls != 2 {
		t.Errorf("got %d reads, want none after the second one failed", calls)
	}
}
