package main

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The trial of large answers: a machine stands still while it sends large answers to another one.
const (
	boardService = "dele69a"
	vaultService = "gowu98c"
	leakMachines = 10
	// largeDownloads answers of largeBytes are on their way when the machine stands still, in
	// each of the rounds. There are further rounds until the other machine holds
	// heldEnough bytes without any request.
	largeDownloads = 11
	maxRounds      = 6
	heldEnough     = 125e6
	// roundsWithoutTrouble is the number of rounds without the disruption.
	roundsWithoutTrouble = 3
	largeBytes           = 4 << 20
	// The machine stands still once the other one holds answersBegun bytes, or after
	// longestTransfer.
	answersBegun    = 4e6
	longestTransfer = 500 * time.Millisecond
	freezeTime      = 2500 * time.Millisecond
	// contactTime is how long a machine without disruption is not counted after one elsewhere.
	contactTime = 3 * time.Second
	// laterClients clients download answers of laterBytes each, one after the other.
	laterClients  = 60
	laterBytes    = 1 << 20
	laterPause    = 50 * time.Millisecond
	laterTime     = 45 * time.Second
	lostAllowed   = 3
	sizeParameter = "?size="
)

// vault runs downloads. It holds back the last byte of the large ones until all of them are
// ready, so that their answers are sent at one moment.
type vault struct {
	recorder *recorder
	server   *server

	mu sync.Mutex
	// ready counts the large answers that wait for the others. allReady is closed when all
	// of a round are ready.
	ready    int
	allReady chan struct{}
	// ran holds the ids of the requests that have reached the server.
	ran map[string]bool
}

// awaitAll waits until all large answers of the round are ready.
func (v *vault) awaitAll(ctx context.Context) error {
	v.mu.Lock()
	allReady := v.allReady
	if v.ready++; v.ready%largeDownloads == 0 {
		close(v.allReady)
		v.allReady = make(chan struct{})
	}
	v.mu.Unlock()
	select {
	case <-allReady:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// hasRun reports whether a request has reached the server.
func (v *vault) hasRun(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ran[id]
}

// round returns the channel that is closed when all large answers of the round are ready.
func (v *vault) round() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.allReady
}

// ServeHTTP writes an answer of the size that the query names.
func (v *vault) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		v.server.ServeHTTP(w, r)
		return
	}
	id := r.Header.Get(headerAttempt)
	v.mu.Lock()
	v.ran[id] = true
	v.mu.Unlock()
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	v.recorder.notef("server %s runs %s, an answer of %d bytes", v.server.id, id, size)
	h := w.Header()
	h.Set(headerAttempt, id)
	h.Set(headerSeal, v.server.id+"."+id)
	h.Set("Content-Length", strconv.Itoa(size))
	h.Set("Keep-Alive", "timeout=10")
	part := strings.Repeat("x", 64<<10)
	for left := size; left > 1; {
		n, err := io.WriteString(w, part[:min(len(part), left-1)])
		if err != nil {
			return
		}
		left -= n
	}
	if size == largeBytes {
		w.(http.Flusher).Flush()
		if v.awaitAll(r.Context()) != nil {
			return
		}
	}
	_, _ = io.WriteString(w, "x")
}

// tryLeak plays the trial and reports whether the rule held.
func tryLeak(rec *recorder, root string, trouble bool) (held bool, err error) {
	d, err := newDeployment(rec, root)
	if err != nil {
		return false, err
	}
	defer d.close()
	const key = "6wsjnbanfqasnmgkcuyj"
	if err := d.publish(7, vaultService, "download", 0, []tenant{{Name: "pulo780", Keys: []string{key}, Priority: 1}}); err != nil {
		return false, err
	}
	v := &vault{recorder: rec, allReady: make(chan struct{}), ran: map[string]bool{}}
	for i := range leakMachines {
		service := boardService
		if i == 1 {
			service = vaultService
		}
		m, err := d.addMachine(service, func(s *server) {
			if service == vaultService {
				v.server, s.slots, s.handler = s, 350, v
			}
		})
		if err != nil {
			return false, err
		}
		if err := m.server.start(); err != nil {
			return false, err
		}
	}
	request := func(size int) *clientRequest {
		return &clientRequest{method: http.MethodGet, host: routeHost, path: routePath + "2f" + sizeParameter + strconv.Itoa(size), key: key, deadline: 6 * time.Second}
	}
	if err := d.awaitServed(request(1000)); err != nil {
		return false, err
	}
	front, frozen := d.machines[0].node, d.machines[1].node
	for round := 1; round <= maxRounds; round++ {
		heldBytes, err := playFreeze(rec, v, front, frozen, request(largeBytes), trouble)
		if err != nil {
			return false, err
		}
		if heldBytes >= heldEnough || !trouble && round == roundsWithoutTrouble {
			break
		}
		time.Sleep(time.Second)
		if err := d.awaitServed(request(1000)); err != nil {
			return false, err
		}
	}
	time.Sleep(contactTime + time.Second)
	rec.sayf("%s holds %.0f bytes without any request", front.name, front.heldBytes())
	ctx, cancel := context.WithTimeout(context.Background(), laterTime)
	defer cancel()
	lost, answers := playDownloads(ctx, rec, v, front, request(laterBytes))
	rec.sayf("%d clients download %d bytes each, again and again, on kept connections: answers by status %v", laterClients, laterBytes, answers)
	rec.sayf("requests that were passed on and whose kept connection was closed without an answer: %d; allowed are %d", lost, lostAllowed)
	return lost <= lostAllowed, nil
}

// playFreeze makes a node stand still while the server beside it sends large answers to clients of
// another node, and returns the bytes that the other node holds when all of them have ended. Without
// trouble, the node goes on.
func playFreeze(rec *recorder, v *vault, front, frozen *node, r *clientRequest, trouble bool) (heldBytes float64, err error) {
	rec.sayf("%d clients of %s download %d bytes each from the server beside %s", largeDownloads, front.name, largeBytes, frozen.name)
	allReady := v.round()
	var (
		downloads sync.WaitGroup
		mu        sync.Mutex
	)
	answers := map[int]int{}
	for range largeDownloads {
		downloads.Go(func() {
			a := sendOnce(rec, front.outbound(), r)
			rec.notef("%s, sent at %.3f s, ends with status %d, %d bytes, error %v", a.id, a.sentAt.Seconds(), a.status, a.bytes, a.err)
			mu.Lock()
			defer mu.Unlock()
			answers[a.status]++
		})
	}
	select {
	case <-allReady:
	case <-time.After(5 * time.Second):
		return 0, errors.New("the large downloads have not all begun")
	}
	if trouble {
		for readyAt := time.Now(); front.heldBytes() < answersBegun && time.Since(readyAt) < longestTransfer; {
			time.Sleep(time.Millisecond)
		}
		frozen.signal(syscall.SIGSTOP)
		rec.sayf("%s stands still", frozen.name)
		time.Sleep(freezeTime)
		frozen.signal(syscall.SIGCONT)
		rec.sayf("%s goes on", frozen.name)
	}
	downloads.Wait()
	heldBytes = front.heldBytes()
	rec.sayf("the large downloads ended with %v; %s holds %.0f bytes", answers, front.name, heldBytes)
	return heldBytes, nil
}

// heldBytes returns the memory that requests and answers hold on the node, in bytes.
func (n *node) heldBytes() float64 {
	held, _ := strconv.ParseFloat(n.metric("flamingotack_memory_held"), 64)
	return held
}

// playDownloads makes clients send a request again and again until ctx ends. It returns the number of
// requests that have reached the server and whose kept connection was closed without an answer, and the answers by status.
func playDownloads(ctx context.Context, rec *recorder, v *vault, n *node, r *clientRequest) (lost int, answers map[int]int) {
	var (
		clients sync.WaitGroup
		mu      sync.Mutex
	)
	answers = map[int]int{}
	for range laterClients {
		clients.Go(func() {
			var conn *clientConn
			used := 0
			for ctx.Err() == nil {
				if conn == nil {
					var err error
					if conn, err = dialNode(n.outbound()); err != nil {
						rec.notef("no connection: %v", err)
						time.Sleep(laterPause)
						continue
					}
					used = 0
				}
				a, keep := conn.roundTrip(rec, r)
				rec.notef("%s, sent at %.3f s as request %d of its connection, ends with status %d, %d bytes, error %v", a.id, a.sentAt.Seconds(), used+1, a.status, a.bytes, a.err)
				mu.Lock()
				answers[a.status]++
				if a.status == 0 && v.hasRun(a.id) {
					lost++
				}
				mu.Unlock()
				used++
				if !keep {
					conn.close()
					conn = nil
				}
				time.Sleep(laterPause)
			}
			if conn != nil {
				conn.close()
			}
		})
	}
	clients.Wait()
	return lost, answers
}
