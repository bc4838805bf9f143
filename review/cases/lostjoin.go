package cases

import (
	"slices"
	"sync"
	"time"

	"github.com/flamingotack/flamingotack/review/caller"
	"github.com/flamingotack/flamingotack/review/runner"
)

const (
	// hotMultiple is the requests of the hot tenant over its quota: 7.5 times its usual
	// requests, where the quota is 1.6 times these.
	hotMultiple = 7.5 / 1.6
	// hotLead is the time between the hot tenant's first request and the new instance,
	// hotTail the time after that.
	hotLead = 7 * time.Second
	hotTail = 8 * time.Second
	// quotaWindow, quotaOver and quotaSlack are bounds of the rules.
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20
	// memberTopic is where nodes register.
	memberTopic = "keyed.members"
)

// hotTenant is a customer that sends more than its quota.
var hotTenant = tenant{name: "pulo781", key: "8pjbvk9m68k7b2ex5wa5", ratePerSecond: 40, burst: 10}

// sentRun is a request that was sent and then began to run.
type sentRun struct {
	sentAt, ranAt time.Time
}

// LostJoin adds an instance while a customer sends more than its quota, and loses the store's
// answer to the first write of the new node. The rule QUOTA is broken if more requests of the
// customer than it allows are sent and begin to run in some quotaWindow.
func LostJoin(e *Environment) (broken bool, err error) {
	var mu sync.Mutex
	sent, ran := map[string]time.Time{}, map[string]time.Time{}
	model := runner.Settings{OnRun: func(r runner.Run) {
		mu.Lock()
		defer mu.Unlock()
		if _, again := ran[r.ID]; !again && r.Tenant == hotTenant.name {
			ran[r.ID] = r.At
		}
	}}
	d, err := newDeployment(e, model, []tenant{hotTenant}, boardService, boardService, boardService, deskService)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.awaitService(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var sending sync.WaitGroup
	press := func(m *member) {
		sending.Go(func() {
			c := caller.New(m.CallerAddress(), e.Recorder)
			// The tenant's clients are spread over the nodes of slotboard, the new one too.
			ticker := time.NewTicker(time.Duration(4 * float64(time.Second) / (hotMultiple * hotTenant.ratePerSecond)))
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				sending.Go(func() {
					a := c.Send(viewRequest("hot", hotTenant))
					mu.Lock()
					defer mu.Unlock()
					sent[a.ID] = a.SentAt
				})
			}
		})
	}
	for _, m := range d.members[:3] {
		press(m)
	}
	time.Sleep(hotLead)
	lost := 0
	if e.Trouble {
		name := d.platform.InstanceName(len(d.members)+1, zones[0])
		d.store.LoseAnswers(func(topic, key string) bool {
			if topic != memberTopic || key != name || lost > 0 {
				return false
			}
			lost++
			e.Recorder.Printf("the store's answer to the write of %s is lost", key)
			return true
		})
	}
	added, err := d.add(boardService, zones[0], true)
	if err != nil {
		return false, err
	}
	press(added)
	time.Sleep(hotTail)
	close(stop)
	sending.Wait()
	mu.Lock()
	defer mu.Unlock()
	var runs []sentRun
	for id, at := range ran {
		runs = append(runs, sentRun{sentAt: sent[id], ranAt: at})
	}
	most, from := mostInWindow(runs, quotaWindow)
	allowed := (hotTenant.ratePerSecond*quotaWindow.Seconds()+hotTenant.burst)*(1+quotaOver) + quotaSlack
	e.Recorder.Printf("result: %d requests of the customer were sent and began to run within %s from %.3f s on, allowed are %.0f", most, quotaWindow, e.Recorder.Since(from).Seconds(), allowed)
	return float64(most) > allowed, nil
}

// mostInWindow returns the highest number of requests that were both sent and began to run in
// a window of that length, and the start of the window.
func mostInWindow(runs []sentRun, length time.Duration) (most int, from time.Time) {
	slices.SortFunc(runs, func(a, b sentRun) int { return a.sentAt.Compare(b.sentAt) })
	for i := range runs {
		end, count := runs[i].sentAt.Add(length), 0
		for _, r := range runs[i:] {
			if !r.ranAt.After(end) {
				count++
			}
		}
		if count > most {
			most, from = count, runs[i].sentAt
		}
	}
	return most, from
}
