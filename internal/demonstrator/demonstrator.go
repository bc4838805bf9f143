package demonstrator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/differ"
	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/journaler"
	"github.com/flamingotack/flamingotack/internal/operator"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/recorder"
)

const (
	author       = "demo"
	calmSpan     = 1500 * time.Millisecond
	changeLimit  = 11 * time.Second
	domainSpan   = time.Second
	greedyFactor = 5
	overloadSlow = 25
	overloadSpan = 3 * time.Second
	refusalBurst = 200
	startLimit   = 15 * time.Second
)

// Story shows what a fleet does, step by step.
type Demo struct {
	out      io.Writer
	fleet    *Fleet
	caller   *LoadGenerator
	system   operator.System
	manifest *parser.Manifest
}

// NewStory returns a Story of that fleet that prints to out.
func NewDemo(out io.Writer, f *Fleet, m *parser.Manifest) *Demo {
	return &Demo{
		out:      out,
		fleet:    f,
		caller:   NewLoadGenerator(f, m),
		system:   operator.NewRealSystem(journaler.NewHTTP(f.LogURL), nil),
		manifest: m,
	}
}

// Tell runs all steps.
func (s *Demo) Run(ctx context.Context) (err error) {
	defer s.caller.Close()
	for _, step := range []func(context.Context) error{
		s.publish,
		s.calm,
		s.overload,
		s.withdrawKey,
		s.takeDomainOut,
	} {
		if err := step(ctx); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// calm sends what the customers are allowed to.
func (s *Demo) calm(ctx context.Context) error {
	s.title("Every customer sends four fifths of its rate")
	s.load(ctx, calmSpan, s.demands(0.8, ""))
	return nil
}

// change makes a change and says how long it took to be in force.
func (s *Demo) change(ctx context.Context, what string, r folder.Record) (err error) {
	ctx, cancel := context.WithTimeout(ctx, changeLimit)
	defer cancel()
	start := time.Now()
	v, err := operator.Load(ctx, s.system)
	if err != nil {
		return err
	}
	r.Base, r.Author = v.State.Version, author
	result, err := operator.Append(ctx, s.system, r)
	if err != nil {
		return err
	}
	if err := operator.Wait(ctx, s.system, v, result.Version, func(operator.Progress) {}); err != nil {
		return err
	}
	s.printf("%s: version %d is in force on all %d nodes after %s.\n",
		what, result.Version, len(v.State.Members), time.Since(start).Round(time.Millisecond))
	return nil
}

func (s *Demo) demands(factor float64, greedy string) []CustomerLoad {
	demands := make([]CustomerLoad, 0, len(s.manifest.Customers))
	for _, c := range s.manifest.Customers {
		d := CustomerLoad{Customer: c, RateFactor: factor}
		if c.Name == greedy {
			d.RateFactor = greedyFactor
		}
		demands = append(demands, d)
	}
	return demands
}

func (s *Demo) load(ctx context.Context, span time.Duration, demands []CustomerLoad) {
	ctx, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	calls := s.caller.Run(ctx, demands)
	s.printf("%s\n%s", byCustomer(calls, demands, span), byPriority(calls))
}

// overload slows a service down that others wait for, while one customer
// sends several times its rate.
func (s *Demo) overload(ctx context.Context) error {
	greedy := s.manifest.Customers[2]
	s.title(fmt.Sprintf("slotboard gets %d times slower, and %s sends %d times its rate", overloadSlow, greedy.Name, greedyFactor))
	s.fleet.SetSlowdown("slotboard", overloadSlow)
	defer s.fleet.SetSlowdown("slotboard", 1)
	s.load(ctx, overloadSpan, s.demands(1, greedy.Name))
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return s.showRefusal(ctx, greedy.Name)
}

func (s *Demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.out, format, args...)
}

// publish waits for the nodes and gives them their first manifest.
func (s *Demo) publish(ctx context.Context) (err error) {
	s.title("The sample manifest is published")
	if err := s.awaitNodes(ctx); err != nil {
		return err
	}
	changes, err := differ.Compare(nil, s.manifest)
	if err != nil {
		return err
	}
	r := folder.NewRecord(folder.KindManifest)
	r.Manifest = s.manifest
	return s.change(ctx, fmt.Sprintf("%d fields", len(changes)), r)
}

func (s *Demo) awaitNodes(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for {
		v, err := operator.Load(ctx, s.system)
		if err != nil {
			return err
		}
		if len(v.State.Members) == len(s.fleet.Instances) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("%d of %d nodes joined within %s", len(v.State.Members), len(s.fleet.Instances), startLimit)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// showRefusal prints one whole answer that refuses a request. It sends a burst
// of a customer, and should all of it be served, a request without a key.
func (s *Demo) showRefusal(ctx context.Context, customer string) (err error) {
	answers := make([]string, refusalBurst)
	var wait sync.WaitGroup
	for i := range answers {
		wait.Go(func() { answers[i], _ = s.refusal(ctx, SampleKey(customer)) })
	}
	wait.Wait()
	for _, a := range answers {
		if a != "" {
			s.printf("\nA refusal in full:\n\n%s\n", a)
			return nil
		}
	}
	shown, err := s.refusal(ctx, "")
	s.printf("\nNo request of a burst was refused. One without a key:\n\n%s\n", shown)
	return err
}

// refusal sends a request and returns the whole answer when it is a refusal.
func (s *Demo) refusal(ctx context.Context, key string) (text string, err error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	url := "http://" + s.fleet.Instances[0].Settings.Caller + "/slotboard/slots/1"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return "", err
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := s.caller.client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	dump, err := httputil.DumpResponse(response, true)
	if err != nil || response.Header.Get("Content-Type") != "application/problem+json" {
		return "", err
	}
	return string(dump), nil
}

func (s *Demo) takeDomainOut(ctx context.Context) (err error) {
	const domain = "rajkot"
	s.title("Failure domain " + domain + " goes out and comes back")
	for _, out := range []bool{true, false} {
		r := folder.NewRecord(folder.KindDomain)
		r.Outage = &folder.Outage{Name: domain, Out: out}
		what := domain + " in"
		if out {
			what = domain + " out"
		}
		if err := s.change(ctx, what, r); err != nil {
			return err
		}
		s.countWork(ctx, domain)
	}
	return nil
}

// countWork sends requests for a while and says how many went to a failure
// domain.
func (s *Demo) countWork(ctx context.Context, domain string) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, domainSpan)
	defer cancel()
	calls := s.caller.Run(ctx, s.demands(0.5, ""))
	inside, outside := 0, 0
	for _, e := range s.fleet.Recorder.History().Executions {
		switch {
		case e.Start.Before(start) || e.Service != "slotboard":
		case e.Domain == domain:
			inside++
		default:
			outside++
		}
	}
	whole := summarize(calls, func(recorder.Call) string { return "" })[""]
	s.printf("  Then %d of %d requests were served; slotboard ran %d in %s and %d elsewhere.\n",
		whole.served, whole.sent, inside, domain, outside)
}

func (s *Demo) title(text string) {
	s.printf("\n== %s\n\n", text)
}

// withdrawKey withdraws a customer's key that is in use.
func (s *Demo) withdrawKey(ctx context.Context) (err error) {
	const customer = "diu-juniors"
	s.title("The key of " + customer + " is withdrawn, and issued again")
	without, err := parser.CloneManifest(s.manifest)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(without.Customers, func(c parser.Customer) bool { return c.Name == customer })
	without.Customers[i].Keys = nil
	for _, m := range []*parser.Manifest{without, s.manifest} {
		r := folder.NewRecord(folder.KindManifest)
		r.Manifest = m
		what := "Key withdrawn"
		if m == s.manifest {
			what = "Key issued again"
		}
		if err := s.change(ctx, what, r); err != nil {
			return err
		}
		call := s.caller.SendRequest(ctx, s.manifest.Customers[i], kinds()[0], s.fleet.Instances[0])
		s.printf("  A request with it gets status %d %s\n", call.Status, call.Reason)
	}
	return nil
}

// Addresses returns a text with the addresses of the fleet and what to try.
func (f *Fleet) Describe() string {
	text := fmt.Sprintf("Log service  %s\n", f.LogURL)
	for _, p := range f.Instances {
		text += fmt.Sprintf("%-11s  callers http://%s  operators http://%s  backend server %s (%s, %s)\n",
			p.Settings.Name, p.Settings.Caller, p.Settings.Admin, p.BackendServer.URL(), p.Settings.Service, p.Settings.Domain)
	}
	first := f.Instances[0].Settings
	return text + fmt.Sprintf(`
Try:
  curl -i -H 'Authorization: Bearer %s' http://%s/slotboard/slots/1
  curl http://%s/metrics
  go run ./cmd/flamingotack --log %[4]s show
  go run ./cmd/flamingotack --log %[4]s status
  go run ./cmd/flamingotack --log %[4]s burn
`, SampleKey("diu-juniors"), first.Caller, first.Admin, f.LogURL)
}
