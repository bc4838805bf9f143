package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/flamingotack/flamingotack/internal/collator"
)

const traceDescription = `Reads the logs of nodes, from files or from the standard input, and prints what
they say about one request and the calls that it made, ordered by time. It needs
neither the platform's log nor a node.

Examples:
  flamingotack trace 851115d3855d4adf node-*.log
  collect-logs | flamingotack trace 851115d3855d4adf`

func newTraceCmd() *cli.Command {
	return &cli.Command{
		Name:        "trace",
		Usage:       "collect the log lines of one request",
		ArgsUsage:   "ID [FILE...]",
		Description: traceDescription,
		Action:      runTrace,
	}
}

func runTrace(_ context.Context, c *cli.Command) (err error) {
	id := c.Args().First()
	if id == "" {
		return &UsageError{Cause: errors.New("the id of a request is missing")}
	}
	collected := collator.Collator{Request: id}
	root := c.Root()
	files := c.Args().Tail()
	if len(files) == 0 {
		err = collected.ReadLog(root.Reader)
	}
	for _, file := range files {
		if err = readLog(&collected, file); err != nil {
			break
		}
	}
	if err != nil {
		return err
	}
	if collected.Unreadable > 0 {
		if _, err := fmt.Fprintf(root.ErrWriter, "%d lines that contain the request's ID can't be parsed.\n", collected.Unreadable); err != nil {
			return err
		}
	}
	lines := collected.Lines()
	if len(lines) == 0 {
		return errors.Newf("no line is about request %q", id)
	}
	if c.Bool(jsonFlag) {
		return json.NewEncoder(root.Writer).Encode(lines)
	}
	return printTrace(root.Writer, lines)
}

func readLog(collected *collator.Collator, file string) (err error) {
	defer func() { err = errors.Wrapf(err, "%s", file) }()
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, f.Close()) }()
	return collected.ReadLog(f)
}

// printTrace writes the time of the first line, and then each line with the time
// since the first one.
func printTrace(w io.Writer, lines []collator.LogLine) error {
	first := lines[0].Time
	if _, err := fmt.Fprintf(w, "%s\n", first.Format("2006-01-02 15:04:05.000 MST")); err != nil {
		return err
	}
	for _, l := range lines {
		var fields strings.Builder
		for _, name := range l.FieldNames() {
			fmt.Fprintf(&fields, "  %s=%v", name, l.Fields[name])
		}
		if _, err := fmt.Fprintf(w, "%+9.3fs  %s  %s  %s%s\n", l.Time.Sub(first).Seconds(), l.Node, l.RequestID, l.Message, fields.String()); err != nil {
			return err
		}
	}
	return nil
}
