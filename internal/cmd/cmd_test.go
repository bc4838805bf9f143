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
	pollPause   = 5 * time.Millisecond
	testTimeout = 30 * time.Second
)

// fleet is what the scripts of one test work on.
type fleet struct {
	log   *emulator.LogService
	deaf  atomic.Bool
	nodes map[string]*fakeNode
}

type fleetKey struct{}

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"flamingotack":  func() { os.Exit(Client(os.Args)) },
		"flamingotackd": func() { os.Exit(Node(os.Args)) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup:               setUpFleet,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"admin":    setAdmin,
			"count":    countRequests,
			"exitcode": exitCodeIs,
			"issue":    issueCertificate,
			"joined":   awaitMember,
			"log":      controlLog,
			"node":     controlNode,
		},
	})
}

// ServeHTTP passes a request to the log service. A deaf log takes one record,
// and from then on nothing is heard of it.
func (f *fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.log.ServeHTTP(w, r)
	if r.Method == http.MethodPost && f.deaf.Load() {
		f.log.SetOutage(emulator.OutageRefuse)
	}
}

// awaitMember waits until a node has joined: joined NAME.
func awaitMember(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value(fleetKey{}).(*fleet)
	deadline := time.Now().Add(testTimeout)
	for time.Now().Before(deadline) {
		if _, found := foldedState(f.log.MemoryLog()).Member(args[0]); found {
			return
		}
		time.Sleep(pollPause)
	}
	ts.Fatalf("node %s did not join within %s", args[0], testTimeout)
}

// controlLog changes how the log service behaves: log serve, log refuse,
// log hang, log lose N, log retain N; log deaf makes it fail once it has taken
// a record.
func controlLog(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value(fleetKey{}).(*fleet)
	switch args[0] {
	case "serve":
		f.log.SetOutage(emulator.OutageNone)
	case "refuse":
		f.log.SetOutage(emulator.OutageRefuse)
	case "hang":
		f.log.SetOutage(emulator.OutageHang)
	case "lose":
		f.log.LoseAppendAnswers(number(ts, args[1]))
	case "deaf":
		f.deaf.Store(true)
	case "retain":
		f.log.SetRetention(number(ts, args[1]))
	default:
		ts.Fatalf("log %s is unknown", args[0])
	}
}

// controlNode starts and stops nodes: node start NAME SERVICE DOMAIN, node
// freeze NAME, node stale NAME, node thaw NAME, node stop NAME.
func controlNode(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value(fleetKey{}).(*fleet)
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
		n.frozen.Store(foldedState(n.log).Version + 1)
	case "stale":
		n.stale.Store(true)
	case "thaw":
		n.frozen.Store(0)
		n.stale.Store(false)
	case "stop":
		n.stop()
	default:
		ts.Fatalf("node %s is unknown", args[0])
	}
}

// countRequests lets requests end on a node, each in a second of its own:
// count NODE SERVICE CUSTOMER OUTCOME N.
func countRequests(ts *testscript.TestScript, _ bool, args []string) {
	n := ts.Value(fleetKey{}).(*fleet).nodes[args[0]]
	sample := meter.Sample{Service: args[1], Customer: args[2], Priority: exchanger.PriorityHigh, Root: true, Status: http.StatusOK}
	if args[3] != string(meter.OutcomeGood) {
		sample.Refusal = &exchanger.Refusal{Reason: exchanger.Reason(args[3])}
	}
	for range number(ts, args[4]) {
		n.meter.Observe(sample)
		n.clock.Advance(time.Second)
	}
}

// exitCodeIs runs a command and checks its exit code: exitcode N PROGRAM ARGS.
func exitCodeIs(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	got := 0
	if coded, ok := err.(interface{ ExitCode() int }); ok {
		got = coded.ExitCode()
	} else {
		ts.Check(err)
	}
	if want := number(ts, args[0]); got != want {
		ts.Fatalf("exit code: got %d, want %d", got, want)
	}
}

// issueCertificate writes AUTHORITY.pem, NAME.pem and NAME-key.pem: issue
// AUTHORITY NAME. Each use makes a new authority.
func issueCertificate(ts *testscript.TestScript, _ bool, args []string) {
	a, err := emulator.NewCertificateAuthority(args[0])
	ts.Check(err)
	_, err = a.WriteCertificate(ts.MkAbs("."))
	ts.Check(err)
	_, _, err = a.IssueCertificate(ts.MkAbs("."), args[1])
	ts.Check(err)
}

func number(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

// setAdmin puts the admin address of a node into $ADMIN: admin NAME.
func setAdmin(ts *testscript.TestScript, _ bool, args []string) {
	f := ts.Value(fleetKey{}).(*fleet)
	ts.Setenv("ADMIN", f.nodes[args[0]].member.Admin)
}

func setUpFleet(e *testscript.Env) error {
	f := &fleet{log: emulator.NewLogService(), nodes: map[string]*fakeNode{}}
	server := httptest.NewServer(f)
	e.Defer(server.Close)
	e.Values[fleetKey{}] = f
	e.Setenv("FLAMINGOTACK_LOG", server.URL)
	e.Setenv("FLAMINGOTACK_AUTHOR", "asha")
	e.Setenv("XDG_CONFIG_HOME", e.WorkDir+"/config")
	examples, err := os.ReadFile("../../examples/manifest.jsonc")
	if err != nil {
		return err
	}
	return os.WriteFile(e.WorkDir+"/sample.jsonc", examples, 0o600)
}
