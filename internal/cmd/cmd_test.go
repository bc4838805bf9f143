package cmd

import (
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/flamingotack/flamingotack/internal/emulator"
	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/meter"
)

const (
	pollInterval = 5 * time.Millisecond
	testTimeout  = 30 * time.Second
)

// testDeployment is the log service and the fake nodes of one script.
type testDeployment struct {
	log *emulator.LogService
	// failAfterAppend makes the log refuse all requests once it has taken a
	// record.
	failAfterAppend atomic.Bool
	nodes           map[string]*fakeNode
}

type deploymentKey struct{}

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"flamingotack":  func() { os.Exit(ExecuteClient(os.Args)) },
		"flamingotackd": func() { os.Exit(ExecuteNode(os.Args)) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup:               setUpDeployment,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"admin":    setAdminAddress,
			"count":    countRequests,
			"exitcode": checkExitCode,
			"issue":    issueCertificate,
			"joined":   awaitMember,
			"log":      controlLog,
			"node":     controlNode,
		},
	})
}

// ServeHTTP passes a request to the log service. When failAfterAppend is set, the
// log service takes one record and then refuses all requests.
func (f *testDeployment) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.log.ServeHTTP(w, r)
	if r.Method == http.MethodPost && f.failAfterAppend.Load() {
		f.log.SetOutage(emulator.OutageRefuse)
	}
}

// awaitMember waits until a node has joined. Usage: joined NAME.
func awaitMember(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value(deploymentKey{}).(*testDeployment)
	deadline := time.Now().Add(testTimeout)
	for time.Now().Before(deadline) {
		if _, found := currentState(f.log.MemoryLog()).Member(args[0]); found {
			return
		}
		time.Sleep(pollInterval)
	}
	ts.Fatalf("node %s did not join within %s", args[0], testTimeout)
}

// controlLog changes how the log service behaves. Usage: log serve, log refuse,
// log hang, log lose N, log retain N or log fail-after-append, which makes it
// refuse all requests once it has taken a record.
func controlLog(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value(deploymentKey{}).(*testDeployment)
	switch args[0] {
	case "serve":
		f.log.SetOutage(emulator.OutageNone)
	case "refuse":
		f.log.SetOutage(emulator.OutageRefuse)
	case "hang":
		f.log.SetOutage(emulator.OutageHang)
	case "lose":
		f.log.LoseAppendResponses(parseNumber(ts, args[1]))
	case "fail-after-append":
		f.failAfterAppend.Store(true)
	case "retain":
		f.log.SetRetention(parseNumber(ts, args[1]))
	default:
		ts.Fatalf("log command: got %q, want serve, refuse, hang, lose, fail-after-append or retain", args[0])
	}
}

// controlNode controls a fake node. Usage: node start NAME SERVICE DOMAIN, node
// freeze NAME, node stale NAME, node thaw NAME or node stop NAME.
func controlNode(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value(deploymentKey{}).(*testDeployment)
	if args[0] == "start" {
		n, err := startFakeNode(f.log.MemoryLog(), args[1], args[2], args[3])
		ts.Check(err)
		ts.Defer(n.stop)
		f.nodes[args[1]] = n
		return
	}
	n := f.nodes[args[1]]
	switch args[0] {
	case "freeze":
		n.frozenBelow.Store(currentState(n.log).ConfigVersion + 1)
	case "stale":
		n.stale.Store(true)
	case "thaw":
		n.frozenBelow.Store(0)
		n.stale.Store(false)
	case "stop":
		n.stop()
	default:
		ts.Fatalf("node command: got %q, want start, freeze, stale, thaw or stop", args[0])
	}
}

// countRequests records requests on a node, one for each second. Usage: count NODE
// SERVICE CUSTOMER OUTCOME N.
func countRequests(ts *testscript.TestScript, _ bool, args []string) {
	n := ts.Value(deploymentKey{}).(*testDeployment).nodes[args[0]]
	sample := meter.Sample{Service: args[1], Customer: args[2], Priority: exchanger.PriorityHigh, Root: true, Status: http.StatusOK}
	if args[3] != string(meter.OutcomeGood) {
		sample.Refusal = &exchanger.Refusal{Reason: exchanger.Reason(args[3])}
	}
	for range parseNumber(ts, args[4]) {
		n.meter.Observe(sample)
		n.clock.Advance(time.Second)
	}
}

// checkExitCode runs a command and checks its exit code. Usage: exitcode N PROGRAM
// ARGS.
func checkExitCode(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	got := 0
	if coded, ok := err.(interface{ ExitCode() int }); ok {
		got = coded.ExitCode()
	} else {
		ts.Check(err)
	}
	if want := parseNumber(ts, args[0]); got != want {
		ts.Fatalf("exit code: got %d, want %d", got, want)
	}
}

// issueCertificate writes AUTHORITY.pem, NAME.pem and NAME-key.pem. Each use makes
// a new authority. Usage: issue AUTHORITY NAME.
func issueCertificate(ts *testscript.TestScript, _ bool, args []string) {
	a, err := emulator.NewCertificateAuthority(args[0])
	ts.Check(err)
	_, err = a.WriteCertificate(ts.MkAbs("."))
	ts.Check(err)
	_, _, err = a.IssueCertificate(ts.MkAbs("."), args[1])
	ts.Check(err)
}

func parseNumber(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

// setAdminAddress puts the admin address of a node into $ADMIN. Usage: admin NAME.
func setAdminAddress(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value(deploymentKey{}).(*testDeployment)
	ts.Setenv("ADMIN", f.nodes[args[0]].member.AdminAddress)
}

func setUpDeployment(e *testscript.Env) error {
	f := &testDeployment{log: emulator.NewLogService(), nodes: map[string]*fakeNode{}}
	server := httptest.NewServer(f)
	e.Defer(server.Close)
	e.Values[deploymentKey{}] = f
	e.Setenv("FLAMINGOTACK_LOG", server.URL)
	e.Setenv("FLAMINGOTACK_AUTHOR", "asha")
	e.Setenv("XDG_CONFIG_HOME", e.WorkDir+"/config")
	examples, err := os.ReadFile("../../examples/manifest.jsonc")
	if err != nil {
		return err
	}
	return os.WriteFile(e.WorkDir+"/sample.jsonc", examples, 0o600)
}
