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
	author               = "demo"
	normalDuration       = 1500 * time.Millisecond
	changeTimeout        = 11 * time.Second
	domainDuration       = time.Second
	overRateFactor       = 5
	overloadSlowdown     = 25
	overloadDuration     = 3 * time.Second
	refusalBurstRequests = 200
	startTimeout         = 15 * time.Second
)

// Demo shows the behavior of a deployment in steps.
type Demo struct {
	out        io.Writer
	deployment *Deployment
	generator  *LoadGenerator
	system     operator.System
	manifest   *parser.Manifest
}

// NewDemo returns a Demo of a deployment that prints to out.
func NewDemo(out io.Writer, d *Deployment, m *parser.Manifest) *Demo {
	return &Demo{
		out:        out,
		deployment: d,
		generator:  NewLoadGenerator(d, m),
		system:     operator.NewRealSystem(journaler.NewHTTPLog(d.LogURL), nil),
		manifest:   m,
	}
}

// Run runs all steps. It returns the first error.
func (d *Demo) Run(ctx context.Context) (err error) {
	defer d.generator.Close()
	for _, step := range []func(context.Context) error{
		d.publishManifest,
		d.showNormalLoad,
		d.showOverload,
		d.showKeyWithdrawal,
		d.showDomainOutage,
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

// showNormalLoad sends requests within the rates of the customers.
func (d *Demo) showNormalLoad(ctx context.Context) error {
	d.printTitle("Every customer sends four fifths of its rate")
	d.runLoad(ctx, normalDuration, d.customerLoads(0.8, ""))
	return nil
}

// applyChange publishes a change, waits until it is in force and prints how long
// that took.
func (d *Demo) applyChange(ctx context.Context, description string, r folder.Record) (err error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	start := time.Now()
	v, err := operator.LoadWithRetry(ctx, d.system)
	if err != nil {
		return err
	}
	r.BaseVersion, r.Author = v.State.ConfigVersion, author
	result, err := operator.AppendAndConfirm(ctx, d.system, r)
	if err != nil {
		return err
	}
	if err := operator.WaitUntilInForce(ctx, d.system, v, result.Version, func(operator.Progress) {}); err != nil {
		return err
	}
	d.printf("%s: version %d is in force on all %d nodes after %s.\n",
		description, result.Version, len(v.State.Members), time.Since(start).Round(time.Millisecond))
	return nil
}

func (d *Demo) customerLoads(factor float64, overRateCustomer string) []CustomerLoad {
	loads := make([]CustomerLoad, 0, len(d.manifest.Customers))
	for _, c := range d.manifest.Customers {
		l := CustomerLoad{Customer: c, RateFactor: factor}
		if c.Name == overRateCustomer {
			l.RateFactor = overRateFactor
		}
		loads = append(loads, l)
	}
	return loads
}

func (d *Demo) runLoad(ctx context.Context, duration time.Duration, loads []CustomerLoad) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	calls := d.generator.Run(ctx, loads)
	d.printf("%s\n%s", tabulateByCustomer(calls, loads, duration), tabulateByPriority(calls))
}

// showOverload slows down a service that other services call, while one customer
// sends requests far above its rate.
func (d *Demo) showOverload(ctx context.Context) error {
	overRate := d.manifest.Customers[2]
	d.printTitle(fmt.Sprintf("slotboard gets %d times slower, and %s sends %d times its rate", overloadSlowdown, overRate.Name, overRateFactor))
	d.deployment.SetSlowdown("slotboard", overloadSlowdown)
	defer d.deployment.SetSlowdown("slotboard", 1)
	d.runLoad(ctx, overloadDuration, d.customerLoads(1, overRate.Name))
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return d.showRefusal(ctx, overRate.Name)
}

func (d *Demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format, args...)
}

// publishManifest waits until all nodes have joined and publishes their first
// manifest.
func (d *Demo) publishManifest(ctx context.Context) (err error) {
	d.printTitle("The sample manifest is published")
	if err := d.waitForNodes(ctx); err != nil {
		return err
	}
	changes, err := differ.Compare(nil, d.manifest)
	if err != nil {
		return err
	}
	r := folder.NewRecord(folder.KindManifest)
	r.Manifest = d.manifest
	return d.applyChange(ctx, fmt.Sprintf("%d fields", len(changes)), r)
}

func (d *Demo) waitForNodes(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		v, err := operator.LoadWithRetry(ctx, d.system)
		if err != nil {
			return err
		}
		if len(v.State.Members) == len(d.deployment.Instances) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("%d of %d nodes joined within %s", len(v.State.Members), len(d.deployment.Instances), startTimeout)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// showRefusal prints one complete refusal. It sends a burst of a customer's
// requests, and a request without a key if none of the burst is refused.
func (d *Demo) showRefusal(ctx context.Context, customer string) (err error) {
	answers := make([]string, refusalBurstRequests)
	var group sync.WaitGroup
	for i := range answers {
		group.Go(func() { answers[i], _ = d.requestRefusal(ctx, SampleKey(customer)) })
	}
	group.Wait()
	for _, a := range answers {
		if a != "" {
			d.printf("\nA refusal in full:\n\n%s\n", a)
			return nil
		}
	}
	refusal, err := d.requestRefusal(ctx, "")
	d.printf("\nNo request of a burst was refused. One without a key:\n\n%s\n", refusal)
	return err
}

// requestRefusal sends a request and returns the complete answer if it is a
// refusal, or an empty text if it is not. An empty key sends none.
func (d *Demo) requestRefusal(ctx context.Context, key string) (text string, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	url := "http://" + d.deployment.Instances[0].Settings.CallerAddress + "/slotboard/slots/1"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return "", err
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := d.generator.client.Do(request)
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

func (d *Demo) showDomainOutage(ctx context.Context) (err error) {
	const domain = "rajkot"
	d.printTitle("Failure domain " + domain + " goes out and comes back")
	for _, out := range []bool{true, false} {
		r := folder.NewRecord(folder.KindDomain)
		r.OutOfServiceChange = &folder.OutOfServiceChange{Name: domain, OutOfService: out}
		description := domain + " in"
		if out {
			description = domain + " out"
		}
		if err := d.applyChange(ctx, description, r); err != nil {
			return err
		}
		d.countExecutions(ctx, domain)
	}
	return nil
}

// countExecutions sends requests for domainDuration and prints how many ran in a
// failure domain.
func (d *Demo) countExecutions(ctx context.Context, domain string) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, domainDuration)
	defer cancel()
	calls := d.generator.Run(ctx, d.customerLoads(0.5, ""))
	inside, outside := 0, 0
	for _, e := range d.deployment.Recorder.History().Executions {
		switch {
		case e.Start.Before(start) || e.Service != "slotboard":
		case e.Domain == domain:
			inside++
		default:
			outside++
		}
	}
	total := summarize(calls, func(recorder.Call) string { return "" })[""]
	d.printf("  Then %d of %d requests were served; slotboard ran %d in %s and %d elsewhere.\n",
		total.served, total.sent, inside, domain, outside)
}

func (d *Demo) printTitle(text string) {
	d.printf("\n== %s\n\n", text)
}

// showKeyWithdrawal withdraws a customer's key that is in use and issues it
// again.
func (d *Demo) showKeyWithdrawal(ctx context.Context) (err error) {
	const customer = "diu-juniors"
	d.printTitle("The key of " + customer + " is withdrawn, and issued again")
	withoutKey, err := parser.CloneManifest(d.manifest)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(withoutKey.Customers, func(c parser.Customer) bool { return c.Name == customer })
	withoutKey.Customers[i].KeyDigests = nil
	for _, m := range []*parser.Manifest{withoutKey, d.manifest} {
		r := folder.NewRecord(folder.KindManifest)
		r.Manifest = m
		description := "Key withdrawn"
		if m == d.manifest {
			description = "Key issued again"
		}
		if err := d.applyChange(ctx, description, r); err != nil {
			return err
		}
		call := d.generator.SendRequest(ctx, d.manifest.Customers[i], requestKinds()[0], d.deployment.Instances[0])
		d.printf("  A request with it gets status %d %s\n", call.Status, call.Reason)
	}
	return nil
}

// Describe returns a text with the addresses of the deployment and commands to
// try.
func (d *Deployment) Describe() string {
	text := fmt.Sprintf("Log service  %s\n", d.LogURL)
	for _, i := range d.Instances {
		text += fmt.Sprintf("%-11s  callers http://%s  operators http://%s  backend server %s (%s, %s)\n",
			i.Settings.Name, i.Settings.CallerAddress, i.Settings.AdminAddress, i.BackendServer.URL(), i.Settings.Service, i.Settings.Domain)
	}
	first := d.Instances[0].Settings
	return text + fmt.Sprintf(`
Try:
  curl -i -H 'Authorization: Bearer %s' http://%s/slotboard/slots/1
  curl http://%s/metrics
  go run ./cmd/flamingotack --log %[4]s show
  go run ./cmd/flamingotack --log %[4]s status
  go run ./cmd/flamingotack --log %[4]s burn
`, SampleKey("diu-juniors"), first.CallerAddress, first.AdminAddress, d.LogURL)
}
