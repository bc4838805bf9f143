// Command soak plays drawn faults on a small deployment of node processes and checks what
// clients and backends see: MIXED, UNASKED, TWICE, REFUSED, answers in time and processes that
// end by themselves. It prints what is broken.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/flamingotack/flamingotack/review/third/backend"
	"github.com/flamingotack/flamingotack/review/third/caller"
	"github.com/flamingotack/flamingotack/review/third/deployment"
)

type (
	// sent is a request without its body, of which it keeps size and hash. A run that kept the
	// bodies took gigabytes.
	sent struct {
		request   caller.Request
		bodyBytes int
		bodyHash  string
		node      int
	}

	// lost is a request without a whole answer. after is the time from its last byte to the
	// end of the connection; negative if the client had not written all of it by then.
	lost struct {
		attempt string
		after   time.Duration
	}

	soak struct {
		calm    bool
		lost    []lost
		mutated map[string]bool
		d       *deployment.Deployment
		mu      sync.Mutex
		random  *rand.Rand
		sent    map[string]sent
		answers map[string]caller.Answer
		broken  map[string]int
		faulty  atomic.Bool
		served  atomic.Int64
		total   atomic.Int64
		lastID  atomic.Int64
		calls   atomic.Bool
	}
)

func main() {
	seed := flag.Uint64("seed", 1, "seed")
	program := flag.String("program", "", "node program")
	length := flag.Duration("length", 40*time.Second, "length")
	logs := flag.String("logs", "", "directory for logs")
	calm := flag.Bool("calm", false, "only planned work: SIGTERM and configurations")
	flag.Parse()
	d, err := deployment.New(*program, *logs+"/record.txt", []deployment.Machine{{Service: "a", Zone: "za"}, {Service: "a", Zone: "zb"}, {Service: "b", Zone: "za"}, {Service: "b", Zone: "zb"}, {Service: "a", Zone: "zc"}})
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	defer d.Close()
	s := &soak{calm: *calm, d: d, random: rand.New(rand.NewPCG(*seed, 7)), mutated: map[string]bool{}, sent: map[string]sent{}, answers: map[string]caller.Answer{}, broken: map[string]int{}}
	for i, b := range d.Backends {
		b.React = s.react(i)
	}
	if err := d.Start(config(1)); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	end := time.Now().Add(*length)
	var wg sync.WaitGroup
	for i := range d.Nodes {
		for w := range 8 {
			wg.Go(func() { s.client(i, w, end) })
		}
	}
	for i := range d.Nodes {
		wg.Go(func() { s.watch(i, end.Add(-5*time.Second)) })
	}
	wg.Go(func() { s.operate(end) })
	wg.Wait()
	s.judge()
	d.CopyLogs(*logs)
	fmt.Printf("seed %d: %d of %d served, broken: %v\n", *seed, s.served.Load(), s.total.Load(), s.broken)
}

func config(version int) deployment.Config {
	r := []deployment.Route{
		{Prefix: "/get/", Kind: "idempotent", Service: "a", Timeout: 3 * time.Second},
		{Prefix: "/post/", Kind: "non_idempotent", Service: "a", Timeout: 3 * time.Second},
		{Prefix: "/load/", Kind: "download", Service: "b", Timeout: 4 * time.Second},
		{Prefix: "/up/", Kind: "upload", Service: "b", Timeout: 4 * time.Second},
		{Prefix: "/inner/", Kind: "idempotent", Service: "b", Timeout: time.Second, Anonymous: true},
	}
	if version%3 == 2 {
		r = append(r, deployment.Route{Prefix: "/extra/", Kind: "idempotent", Service: "b", Timeout: time.Second})
	}
	return deployment.Config{Version: version, Services: []string{"a", "b"}, Keys: []string{deployment.Key}, Routes: r}
}

func (s *soak) fail(rule, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken[rule]++
	if s.broken[rule] <= 5 {
		fmt.Printf("%s: %s\n", rule, fmt.Sprintf(format, args...))
	}
	s.d.Note("BROKEN", "%s: %s", rule, fmt.Sprintf(format, args...))
}

func (s *soak) float() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

func (s *soak) intn(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *soak) react(i int) func(r *http.Request) backend.Reaction {
	return func(r *http.Request) backend.Reaction {
		re := backend.Reaction{Work: time.Duration(s.float()*float64(60)) * time.Millisecond, AnswerBytes: s.intn(3000)}
		if strings.HasPrefix(r.URL.Path, "/load/") && s.float() < 0.5 {
			re.AnswerBytes = s.intn(1200 << 10)
		}
		if s.float() < 0.02 {
			re.Work = time.Duration(s.float()*4000) * time.Millisecond
		}
		if s.faulty.Load() && s.float() < 0.1 {
			re.Fault = []backend.Fault{backend.FaultMutated, backend.FaultMutated, backend.FaultReset, backend.FaultCut, backend.FaultExtra, backend.FaultExtra, backend.FaultGarbage, backend.FaultUnframedReset, backend.FaultHang}[s.intn(9)]
			if re.Fault == backend.FaultMutated {
				s.mu.Lock()
				s.mutated[r.Header.Get("X-Flamingotack-Attempt-Id")] = true
				s.mu.Unlock()
			}
		} else if s.float() < 0.2 {
			re.Fault = []backend.Fault{backend.FaultChunked, backend.FaultUnframed}[s.intn(2)]
		} else if s.faulty.Load() && s.float() < 0.1 && r.ContentLength > 0 {
			re.Early = true
		}
		if strings.HasPrefix(r.URL.Path, "/get/") && s.float() < 0.2 {
			id := r.Header.Get("X-Flamingotack-Attempt-Id")
			q := caller.Request{Method: "GET", Target: "/inner/" + id, Host: deployment.Host, Attempt: id + ".1", Deadline: time.Second}
			go func() {
				a := caller.Do(s.d.Nodes[i].CallerAddress, &q)
				s.mu.Lock()
				mutated := s.mutated[q.Attempt]
				s.mu.Unlock()
				if a.Status == 200 && !mutated && !bytes.Equal(a.Body, backend.Body(q.Attempt, len(a.Body))) {
					s.fail("MIXED", "nested %s got other bytes", q.Attempt)
				}
			}()
		}
		return re
	}
}

func (s *soak) request(node int) *caller.Request {
	id := "q" + strconv.FormatInt(s.lastID.Add(1), 10) + "z"
	r := &caller.Request{Host: deployment.Host, Attempt: id, Key: deployment.Key, Deadline: 4 * time.Second, Header: map[string]string{}}
	switch x := s.float(); {
	case x < 0.4:
		r.Method, r.Target = "GET", "/get/"+id+"?q="+id
	case x < 0.6:
		r.Method, r.Target = "GET", "/load/"+id
	case x < 0.85:
		r.Method, r.Target = "POST", "/post/"+id
		r.Body = backend.Body("b"+id, s.intn(5000))
	default:
		r.Method, r.Target = "POST", "/up/"+id
		r.Body = backend.Body("b"+id, s.intn(600<<10))
		r.Chunked = s.float() < 0.5
	}
	if s.float() < 0.1 {
		r.Header["X-Big"] = strings.Repeat("h", s.intn(9000))
	}
	hash := backend.Hash(r.Body)
	r.Header["X-Body-Hash"] = hash
	kept := *r
	kept.Body, kept.Header = nil, nil
	s.mu.Lock()
	s.sent[id] = sent{kept, len(r.Body), hash, node}
	s.mu.Unlock()
	return r
}

// client sends requests over kept connections, some of them pipelined, and leaves at times.
func (s *soak) client(node, w int, end time.Time) {
	for time.Now().Before(end) {
		c, err := caller.Dial(s.d.Nodes[node].CallerAddress)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		s.session(c, node, w, end)
		c.Close()
	}
}

func (s *soak) session(c *caller.Conn, node, w int, end time.Time) {
	answered := 0
	for time.Now().Before(end) {
		count := 1
		if w%3 == 0 {
			count = 1 + s.intn(4)
		}
		var batch []*caller.Request
		for range count {
			r := s.request(node)
			if count > 1 {
				for r.Method != "GET" {
					r = s.request(node)
				}
			}
			batch = append(batch, r)
		}
		var out []byte
		for _, r := range batch {
			out = append(out, r.Encode()...)
		}
		_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
		var written atomic.Pointer[time.Time]
		go func() {
			if _, err := c.Write(out); err == nil {
				now := time.Now()
				written.Store(&now)
			}
		}()
		if s.float() < 0.05 {
			time.Sleep(time.Duration(s.float()*80) * time.Millisecond)
			return
		}
		for i, r := range batch {
			if s.float() < 0.05 {
				time.Sleep(time.Duration(s.float()*300) * time.Millisecond)
			}
			a := c.ReadAnswer(r.Method, time.Now().Add(5500*time.Millisecond))
			answered++
			if s.calm && !a.Complete {
				s.d.Note("lost?", "%s %s on node %d, number %d of its batch of %d, %d of its connection", r.Method, r.Attempt, node, i+1, count, answered)
			}
			s.check(r, a, written.Load())
			if !a.Complete || a.Close {
				return
			}
		}
		time.Sleep(time.Duration(s.float()*20) * time.Millisecond)
	}
}

// check checks an answer. written is when the last byte of the request was written; nil if it
// was not.
func (s *soak) check(r *caller.Request, a caller.Answer, written *time.Time) {
	s.total.Add(1)
	s.mu.Lock()
	kept := a
	if a.Status/100 == 2 {
		kept.Body = nil
	}
	s.answers[r.Attempt] = kept
	mutated := s.mutated[r.Attempt]
	s.mu.Unlock()
	if mutated {
		return
	}
	if s.calm && !a.Complete {
		after := time.Duration(-1)
		if written != nil {
			after = time.Since(*written)
		}
		s.d.Note("lost?", "%s %s after %s: %v", r.Method, r.Attempt, after, a.Err)
		s.mu.Lock()
		s.lost = append(s.lost, lost{r.Attempt, after})
		s.mu.Unlock()
	}
	if a.Status == 0 && a.Err != nil && strings.Contains(a.Err.Error(), "timeout") {
		s.fail("SILENT", "%s %s got no answer within 5.5 s", r.Method, r.Attempt)
	}
	if a.Status/100 == 2 && a.Complete {
		s.served.Add(1)
		if a.Header.Get("X-Flamingotack-Attempt-Id") != r.Attempt || !strings.HasSuffix(a.Header.Get("X-Flamingotack-Server-Seal"), "."+r.Attempt) {
			s.fail("MIXED", "%s got the head of %q", r.Attempt, a.Header.Get("X-Flamingotack-Attempt-Id"))
		}
		if !bytes.Equal(a.Body, backend.Body(r.Attempt, len(a.Body))) {
			s.fail("MIXED", "%s got other bytes", r.Attempt)
		}
	}
	if a.Status != 0 && a.Status/100 != 2 && a.Status/100 != 5 && a.Status != 429 && a.Status != 408 {
		s.fail("DENIED", "%s got %d %s", r.Attempt, a.Status, a.Body)
	}
}

// watch plays faults on a node and its backend.
func (s *soak) watch(i int, end time.Time) {
	n, b := s.d.Nodes[i], s.d.Backends[i]
	incarnation := 1
	for time.Now().Before(end) {
		time.Sleep(time.Duration(1000+s.float()*5000) * time.Millisecond)
		if !n.Lives() {
			s.fail("ENDED", "node %d ended by itself", i)
			_ = n.Start()
			continue
		}
		fault := s.intn(6)
		if s.calm {
			fault = 2
		}
		switch fault {
		case 0:
			s.d.Note("fault", "node %d stopped", i)
			_ = n.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(200+s.float()*2500) * time.Millisecond)
			_ = n.Signal(syscall.SIGCONT)
		case 1:
			s.d.Note("fault", "node %d killed", i)
			n.Kill()
			time.Sleep(time.Duration(s.float()*500) * time.Millisecond)
			_ = n.Start()
		case 2:
			s.d.Note("fault", "node %d terminated", i)
			n.Terminate()
			_ = n.Start()
		case 3:
			s.d.Note("fault", "backend %d crashes", i)
			b.Crash()
			time.Sleep(time.Duration(s.float()*1000) * time.Millisecond)
			incarnation++
			if err := b.Start(fmt.Sprintf("i-%d-%d", i, incarnation), true); err != nil {
				s.fail("HARNESS", "%v", err)
			}
		}
	}
}

// operate changes configurations, the store and the faults of the backends.
func (s *soak) operate(end time.Time) {
	version := 1
	for time.Now().Before(end) {
		time.Sleep(time.Duration(500+s.float()*3000) * time.Millisecond)
		change := s.intn(4)
		if s.calm {
			change = 0
		}
		switch change {
		case 0, 1:
			version++
			s.d.Publish(config(version))
		case 2:
			s.faulty.Store(!s.faulty.Load())
			s.d.Note("fault", "backends faulty %t", s.faulty.Load())
		case 3:
			s.d.Note("fault", "store unavailable")
			s.d.Store.SetFault(func(w http.ResponseWriter, _ *http.Request) bool { w.WriteHeader(503); return true })
			time.Sleep(time.Duration(s.float()*3000) * time.Millisecond)
			s.d.Store.SetFault(nil)
		}
	}
}

// judge checks the runs against what was sent and answered.
func (s *soak) judge() {
	time.Sleep(500 * time.Millisecond)
	counts := map[string]int{}
	for _, r := range s.d.Runs() {
		counts[r.Attempt]++
		if strings.HasPrefix(r.Target, "/inner/") {
			continue
		}
		q, found := s.sent[r.Attempt]
		if !found {
			s.fail("UNASKED", "attempt %q was not sent", r.Attempt)
			continue
		}
		service := s.d.Backends[q.node].Service
		if q.request.Method != r.Method || q.request.Target != r.Target || r.CallerService != service || r.Tenant != deployment.Tenant || r.Header.Get("Authorization") != "" {
			s.fail("UNASKED", "%s changed: %s %s caller %s tenant %s", r.Attempt, r.Method, r.Target, r.CallerService, r.Tenant)
		}
		if r.BodyHash != "" && r.BodyHash != q.bodyHash {
			s.fail("UNASKED", "%s %s: body of %d bytes, sent %d", r.Attempt, r.Target, r.BodyBytes, q.bodyBytes)
		}
	}
	for _, l := range s.lost {
		if counts[l.attempt] > 0 || l.after > 200*time.Millisecond {
			s.fail("LOST", "%s ran %d times, cut after %s", l.attempt, counts[l.attempt], l.after)
		}
	}
	for id, q := range s.sent {
		if q.request.Method == "GET" {
			continue
		}
		a := s.answers[id]
		if counts[id] > 1 {
			s.fail("TWICE", "%s ran %d times", id, counts[id])
		}
		if counts[id] > 0 && !s.mutated[id] && (a.Status == 503 || a.Status == 429 || a.Status == 408 || a.Status == 421) {
			s.fail("REFUSED", "%s ran and got %d %s", id, a.Status, a.Body)
		}
	}
}
