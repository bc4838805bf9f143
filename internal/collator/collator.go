// Package collator collects the log lines that several nodes wrote about one
// request.
package collator

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

type (
	// LogLine is a log line about the request.
	LogLine struct {
		// Time is when the node wrote the line, by the node's own clock.
		Time time.Time `json:"time"`
		// Node is the name of the node that wrote the line.
		Node string `json:"node"`
		// RequestID is the ID of the request, or of a call that it made: the
		// request's ID, a dot and a suffix.
		RequestID string `json:"request"`
		// Message is the text of the line.
		Message string `json:"message"`
		// Fields holds the other fields by name, without the level.
		Fields map[string]any `json:"fields"`
	}

	// Collator collects the lines of one request. The zero Collator is ready for
	// use once Request is set.
	Collator struct {
		// Request is the ID of the request.
		Request string
		// Unreadable counts the lines that contain the ID but can't be parsed.
		Unreadable int

		lines []LogLine
	}
)

// Lines returns the lines of the request and of its calls, ordered by time and
// then by node.
func (c *Collator) Lines() []LogLine {
	slices.SortStableFunc(c.lines, func(a, b LogLine) int {
		return cmp.Or(a.Time.Compare(b.Time), strings.Compare(a.Node, b.Node))
	})
	return c.lines
}

// ReadLog adds the lines of one log. Text before the JSON object of a line, such
// as the prefix of a log collector, is ignored. A line longer than maxLineBytes
// is an error.
func (c *Collator) ReadLog(r io.Reader) (err error) {
	defer func() { err = errors.Wrap(err, "read log") }()
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, c.Request) {
			continue
		}
		c.addLine(text[start:])
	}
	return scanner.Err()
}

func (c *Collator) addLine(text string) {
	fields := map[string]any{}
	if err := json.Unmarshal([]byte(text), &fields); err != nil {
		c.Unreadable++
		return
	}
	request := popString(fields, "request")
	if request != c.Request && !strings.HasPrefix(request, c.Request+".") {
		return
	}
	writtenAt, err := time.Parse(time.RFC3339Nano, popString(fields, "time"))
	if err != nil {
		c.Unreadable++
		return
	}
	l := LogLine{Time: writtenAt, Node: popString(fields, "node"), RequestID: request, Message: popString(fields, "message"), Fields: fields}
	delete(fields, "level")
	c.lines = append(c.lines, l)
}

// FieldNames returns the names of the line's fields in alphabetical order.
func (l *LogLine) FieldNames() []string {
	return slices.Sorted(maps.Keys(l.Fields))
}

// popString removes a field and returns its text; empty when the field is
// missing or not a string.
func popString(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	delete(fields, name)
	return text
}
