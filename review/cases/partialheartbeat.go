package cases

import (
	"sync"
	"time"

	"github.com/flamingotack/flamingotack/review/caller"
	"github.com/flamingotack/flamingotack/review/runner"
)

const (
	// coldInterval is the time between two requests of the clients on an instance.
	coldInterval = 8 * time.Millisecond
	// coldLead is the time between the first request and the new backend server.
	coldLead = 3 * time.Second
	// partialDelay is the time from the start of the backend server to the heartbeat of
	// another writer.
	partialDelay = 400 * time.Millisecond
	// coldWindow is the time in which the rule counts requests.
	coldWindow = time.Second
	// warmupOver and warmupSlack are bounds of the rules.
	warmupOver  = 1.5
	warmupSlack = 5
)

// PartialHeartbeat adds a cold backend server during traffic and sends one heartbeat for it
// that lacks a field, as another writer may. The rule FAILBACK is broken if the server gets
// more requests within coldWindow while it is cold than it allows.
func PartialHeartbeat(e *Environment) (broken bool, err error) {
	var mu sync.Mutex
	sent := map[string]time.Time{}
	var runs []runner.Run
	model := runner.Settings{OnRun: func(r runner.Run) {
		mu.Lock()
		defer mu.Unlock()
		runs = append(runs, r)
	}}
	d, err := newDeployment(e, model, nil, boardService, boardService, deskService, deskService, deskService, deskService)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.awaitService(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var sending sync.WaitGroup
	for _, m := range d.members {
		if m.Zone != zones[2] {
			continue
		}
		sending.Go(func() {
			c := caller.New(m.CallerAddress(), e.Recorder)
			ticker := time.NewTicker(coldInterval)
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				sending.Go(func() {
					a := c.Send(viewRequest("usual", defaultTenant))
					mu.Lock()
					defer mu.Unlock()
					sent[a.ID] = a.SentAt
				})
			}
		})
	}
	time.Sleep(coldLead)
	added, err := d.add(boardService, zones[2], true)
	if err != nil {
		return false, err
	}
	coldUntil := added.backend.ColdUntil()
	time.Sleep(partialDelay)
	if e.Trouble {
		if err := added.backend.SendPartialHeartbeat(); err != nil {
			e.Recorder.Printf("the partial heartbeat was not acknowledged: %v", err)
		}
	}
	time.Sleep(time.Until(coldUntil) + coldWindow)
	close(stop)
	sending.Wait()
	mu.Lock()
	defer mu.Unlock()
	var cold []sentRun
	for _, r := range runs {
		if at, known := sent[r.ID]; known && r.Instance == added.backend.ID() && r.At.Before(coldUntil) {
			cold = append(cold, sentRun{sentAt: at, ranAt: r.At})
		}
	}
	most, from := mostInWindow(cold, coldWindow)
	const allowed = warmupRate*warmupOver + warmupSlack
	e.Recorder.Printf("result: the cold backend server got %d requests that were sent within %s from %.3f s on, allowed are %.0f", most, coldWindow, e.Recorder.Since(from).Seconds(), allowed)
	return float64(most) > allowed, nil
}
