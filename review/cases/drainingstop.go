package cases

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/flamingotack/flamingotack/review/caller"
	"github.com/flamingotack/flamingotack/review/runner"
)

const (
	// longBookWork is the work of each request: the longest that the site file has for
	// slot-book is 580 ms.
	longBookWork = 500 * time.Millisecond
	// longName is the end of the path of these requests.
	longName = "long"
	// stopInterval is the time between the stops of two nodes.
	stopInterval = time.Second
	// drainLead is the time from the report of a backend server that it is draining to the
	// stop of its node.
	drainLead = 200 * time.Millisecond
	// bookInterval is the time between two requests.
	bookInterval = 20 * time.Millisecond
	// bookLead is the time before the first stop.
	bookLead = 2 * time.Second
)

// DrainingStop stops two nodes one after the other, the second while the backend server
// beside it is draining and still at work. The rule LOST is broken if the first node, which
// took a request, answers it in the place of the backend server that is at work on it.
func DrainingStop(e *Environment) (broken bool, err error) {
	var mu sync.Mutex
	ran := map[string]runner.Run{}
	model := runner.Settings{
		WorkTime: func(path string) time.Duration {
			if strings.HasSuffix(path, longName) {
				return longBookWork
			}
			return workTime(path)
		},
		OnRun: func(r runner.Run) {
			mu.Lock()
			defer mu.Unlock()
			ran[r.ID] = r
		},
	}
	d, err := newDeployment(e, model, nil, boardService, boardService, deskService, deskService)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.awaitService(); err != nil {
		return false, err
	}
	// Nodes prefer backend servers of their own failure domain, so both are of the same.
	entry, draining := d.members[0], d.members[3]
	var answers []caller.Answer
	var answeredAt []time.Time
	var sending sync.WaitGroup
	stop := make(chan struct{})
	sending.Go(func() {
		c := caller.New(entry.CallerAddress(), e.Recorder)
		ticker := time.NewTicker(bookInterval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			if !entry.Ready() {
				continue
			}
			sending.Go(func() {
				a := c.Send(bookRequest(longName, defaultTenant, []byte("slot")))
				mu.Lock()
				defer mu.Unlock()
				answers, answeredAt = append(answers, a), append(answeredAt, time.Now())
			})
		}
	})
	time.Sleep(bookLead)
	firstStop := time.Now()
	var stopping sync.WaitGroup
	stopping.Go(entry.Terminate)
	time.Sleep(stopInterval - drainLead)
	if e.Trouble {
		if err := draining.backend.Drain(); err != nil {
			return false, err
		}
	}
	time.Sleep(drainLead)
	stopping.Go(draining.Terminate)
	stopping.Wait()
	close(stop)
	sending.Wait()
	mu.Lock()
	defer mu.Unlock()
	cut := 0
	for i, a := range answers {
		run, began := ran[a.ID]
		if !began || answeredAt[i].Before(firstStop) || a.Status == http.StatusOK || answeredAt[i].Sub(run.At) >= longBookWork {
			continue
		}
		cut++
		e.Recorder.Printf("result: request %s ended with status %d, error %v, %s after backend server %s had begun to run it for %s", a.ID, a.Status, a.Err, answeredAt[i].Sub(run.At).Round(time.Millisecond), run.Instance, longBookWork)
	}
	e.Recorder.Printf("result: %d of %d requests were broken off while a backend server was at work on them, allowed are 0", cut, len(answers))
	return cut > 0, nil
}
