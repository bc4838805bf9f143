// Command standin plays the trials of the second independent review: it starts the nodes as the
// deploy file does, with stand-ins for the platform's store, the servers and the clients, and
// checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the trial could
// not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// trials are the trials by name. Each reports whether the rule held.
var trials = map[string]func(rec *recorder, root string, trouble bool) (held bool, err error){
	"crash":    tryCrash,
	"failback": tryFailback,
	"leak":     tryLeak,
	"quota":    tryQuota,
	"stop":     tryStop,
}

func main() {
	os.Exit(play(os.Args[1:]))
}

// play plays the trial that the arguments name: its name, the root of the repository and the
// folder of record.txt.
func play(args []string) (exitCode int) {
	if len(args) != 3 || trials[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin TRIAL ROOT FOLDER")
		return exitFailed
	}
	rec, err := newRecorder(filepath.Join(args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = rec.close() }()
	exitOnSignal(rec)
	held, err := trials[args[0]](rec, args[1], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.sayf("the trial could not run: %v", err)
		return exitFailed
	case held:
		rec.sayf("the rule held")
		return exitHeld
	}
	rec.sayf("the rule was broken")
	return exitBroken
}

// exitOnSignal makes the first interrupt or SIGTERM end all nodes and then the trial.
func exitOnSignal(rec *recorder) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		s := <-signals
		rec.sayf("trial ended by signal %s", s)
		killStartedNodes()
		_ = rec.close()
		os.Exit(exitFailed)
	}()
}
