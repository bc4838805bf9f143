// Command reviewer runs one scripted case and writes its record.
//
// Usage: reviewer CASE FOLDER. FOLDER is the case's folder two levels below the root of the
// repository; the record is written there. With TROUBLE=0 in the environment the disruption
// is left out. The exit code is 1 if the rule was broken, 0 if it held and 2 if the case
// could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/flamingotack/flamingotack/review/cases"
	"github.com/flamingotack/flamingotack/review/recorder"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// maxRunTime bounds the time of a case.
	maxRunTime = 110 * time.Second
)

var byName = map[string]cases.Case{
	"crash-request":     cases.CrashRequest,
	"partial-heartbeat": cases.PartialHeartbeat,
	"draining-stop":     cases.DrainingStop,
	"lost-join":         cases.LostJoin,
	"large-body":        cases.LargeBody,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(arguments []string) (code int) {
	if len(arguments) != 2 || byName[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewer CASE FOLDER")
		return exitFailed
	}
	folder, err := filepath.Abs(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	r, err := recorder.New(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() {
		if err := r.Close(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = exitFailed
		}
	}()
	e := &cases.Environment{
		Root:     filepath.Dir(filepath.Dir(folder)),
		Trouble:  os.Getenv("TROUBLE") != "0",
		Recorder: r,
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRunTime)
	defer cancel()
	var broken bool
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		broken, err = byName[arguments[0]](e)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
		e.Stop()
		r.Printf("result: the case was given up")
		return exitFailed
	}
	switch {
	case err != nil:
		r.Printf("result: the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		r.Printf("result: the rule was broken")
		return exitBroken
	}
	r.Printf("result: the rule held")
	return exitHeld
}
