package cases

import (
	"strings"
	"sync"
	"time"

	"github.com/flamingotack/flamingotack/review/caller"
	"github.com/flamingotack/flamingotack/review/runner"
)

const (
	// crashName is the end of the path of the request that crashes backend servers.
	crashName = "crash"
	// crashRepeatInterval is the time between two attempts of that request, and
	// crashRepeats their number.
	crashRepeatInterval = 2 * time.Second
	crashRepeats        = 18
	// crashRestartDelay is how long a crashed backend server is away.
	crashRestartDelay = 2500 * time.Millisecond
	// contact is the bound contact of the rules.
	contact = 3 * time.Second
	// crashesUntilKnown is the number of crashes after which the rule counts, and
	// maxRetriesAfter the number of retries that it allows.
	crashesUntilKnown = 3
	maxRetriesAfter   = 3
	// usualInterval is the time between two usual requests at each node.
	usualInterval = 100 * time.Millisecond
)

// CrashRequest sends a request that crashes each backend server that begins to run it, again
// and again. The rule BUDGET is broken if more than maxRetriesAfter attempts reach a backend
// server later than contact after the third crash.
func CrashRequest(e *Environment) (broken bool, err error) {
	var mu sync.Mutex
	var runs []runner.Run
	model := runner.Settings{
		Crashes:      func(path string) bool { return e.Trouble && strings.HasSuffix(path, crashName) },
		RestartDelay: crashRestartDelay,
		OnRun: func(r runner.Run) {
			mu.Lock()
			defer mu.Unlock()
			if strings.HasSuffix(r.Path, crashName) {
				runs = append(runs, r)
			}
		},
	}
	d, err := newDeployment(e, model, nil, boardService, boardService, boardService, boardService, deskService, deskService, deskService)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.awaitService(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	usual := d.sendUsual(stop)
	// The caller is always bookdesk: the request comes at one after the other of its nodes.
	desks := d.members[4:]
	var sending sync.WaitGroup
	for i := range crashRepeats {
		sending.Go(func() {
			caller.New(desks[i%len(desks)].CallerAddress(), e.Recorder).Send(viewRequest(crashName, defaultTenant))
		})
		time.Sleep(crashRepeatInterval)
	}
	sending.Wait()
	close(stop)
	counts := usual()
	mu.Lock()
	defer mu.Unlock()
	late := map[string]bool{}
	if e.Trouble && len(runs) >= crashesUntilKnown {
		for _, r := range runs {
			if r.At.After(runs[crashesUntilKnown-1].At.Add(contact)) {
				late[r.ID] = true
			}
		}
	}
	e.Recorder.Printf("result: the request began to run %d times; %d attempts reached a backend server later than %s after crash %d, allowed are %d", len(runs), len(late), contact, crashesUntilKnown, maxRetriesAfter)
	e.Recorder.Printf("result: other requests by status: %v", counts)
	return len(late) > maxRetriesAfter, nil
}

// sendUsual sends usual requests at all nodes until stop is closed. The returned function
// waits for their answers and returns the number of requests by status, 0 for none.
func (d *deployment) sendUsual(stop <-chan struct{}) (wait func() map[int]int) {
	var mu sync.Mutex
	counts := map[int]int{}
	var sending sync.WaitGroup
	for _, m := range d.members {
		sending.Go(func() {
			c := caller.New(m.CallerAddress(), d.Recorder)
			ticker := time.NewTicker(usualInterval)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				request := viewRequest("usual", defaultTenant)
				if n%4 == 3 {
					request = bookRequest("usual", defaultTenant, []byte("slot"))
				}
				sending.Go(func() {
					status := c.Send(request).Status
					mu.Lock()
					defer mu.Unlock()
					counts[status]++
				})
			}
		})
	}
	return func() map[int]int {
		sending.Wait()
		return counts
	}
}
