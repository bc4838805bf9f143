package cases

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingotack/flamingotack/review/caller"
	"github.com/flamingotack/flamingotack/review/runner"
)

const (
	// largeBodyBytes is the body of a large request. The configuration allows
	// maxBodyBytes, 67108864.
	largeBodyBytes = 60_000_000
	// smallBodyBytes is the body of all requests without the disruption.
	smallBodyBytes = 300
	// largeRounds is the number of large requests of each client, and
	// largeInterval the time between two of them.
	largeRounds   = 8
	largeInterval = 4 * time.Second
	// largeClients is the number of clients that send large requests at the same time.
	largeClients = 4
	// keptClients is the number of clients at each node that keep their connections.
	keptClients = 8
	// maxCutOff is the number of requests from kept connections that a node may pass on
	// and leave without an answer.
	maxCutOff = 3
)

// LargeBody sends requests whose bodies are within the configured limit. The rule LOST is
// broken if a node passed more than maxCutOff requests from kept connections on to a backend
// server and they got no answer, because the connection ended.
func LargeBody(e *Environment) (broken bool, err error) {
	var mu sync.Mutex
	ran := map[string]bool{}
	model := runner.Settings{OnRun: func(r runner.Run) {
		mu.Lock()
		defer mu.Unlock()
		ran[r.ID] = true
	}}
	d, err := newDeployment(e, model, nil, boardService, boardService, deskService, deskService)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.awaitService(); err != nil {
		return false, err
	}
	bodyBytes := smallBodyBytes
	if e.Trouble {
		bodyBytes = largeBodyBytes
	}
	var stopped atomic.Bool
	var clients sync.WaitGroup
	cutOff := map[string]int{}
	for _, m := range d.members {
		for range keptClients {
			clients.Go(func() {
				k := caller.NewKept(m.CallerAddress(), e.Recorder)
				defer k.Close()
				for !stopped.Load() {
					if !m.Ready() {
						time.Sleep(usualInterval)
						continue
					}
					a, kept := k.Send(bookRequest("kept", defaultTenant, make([]byte, smallBodyBytes)))
					mu.Lock()
					if kept && a.Err != nil && ran[a.ID] {
						cutOff[m.Name]++
					}
					mu.Unlock()
					time.Sleep(usualInterval)
				}
			})
		}
	}
	body := make([]byte, bodyBytes)
	for range largeRounds {
		var sending sync.WaitGroup
		for i := range largeClients {
			m := d.members[i%2]
			sending.Go(func() {
				caller.New(m.CallerAddress(), e.Recorder).Send(bookRequest("large", defaultTenant, body))
			})
		}
		sending.Wait()
		time.Sleep(largeInterval)
	}
	stopped.Store(true)
	clients.Wait()
	most := 0
	for _, m := range d.members {
		e.Recorder.Printf("result: %d processes of node %s exceeded their memory", m.MemoryKills(), m.Name)
		most = max(most, cutOff[m.Name])
	}
	e.Recorder.Printf("result: requests from kept connections that were passed on and got no answer, by node: %v, allowed are %d", cutOff, maxCutOff)
	return most > maxCutOff, nil
}
