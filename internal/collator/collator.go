// Package collator gathers what the logs of nodes say about one request.
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

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

type (
	// Line is a log line about the request.
	LogLine struct {
		// Time is when the node wrote it, by its own clock.
		Time time.Time `json:"time"`
		// Node wrote the line.
		Node string `json:"node"`
		// Request is the id of the request, or of a call that it made.
		RequestID string `json:"request"`
		// Message says what was decided.
		Message string `json:"message"`
		// Fields are the others, by their names.
		Fields map[string]any `json:"fields"`
	}

	// Collator gathers the lines of one request. The zero Collator with its
	// exported fields set is ready for use.
	Collator struct {
		// Request is the id of the request.
		Request string
		// Unreadable counts the lines that name the request but can't be read.
		Unreadable int

		lines []LogLine
	}
)

// Lines returns the lines of the request and of its calls in order of time.
func (c *Collator) Lines() []LogLine {
	slices.SortStableFunc(c.lines, func(a, b LogLine) int {
		return cmp.Or(a.Time.Compare(b.Time), strings.Compare(a.Node, b.Node))
	})
	return c.lines
}

// Read takes the lines of one log. What stands before the JSON of a line, such as
// the prefix of a collector, is passed over.
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
		c.take(text[start:])
	}
	return scanner.Err()
}

func (c *Collator) take(text string) {
	fields := map[string]any{}
	if err := json.Unmarshal([]byte(text), &fields); err != nil {
		c.Unreadable++
		return
	}
	request := pop(fields, "request")
	if request != c.Request && !strings.HasPrefix(request, c.Request+".") {
		return
	}
	at, err := time.Parse(time.RFC3339Nano, pop(fields, "time"))
	if err != nil {
		c.Unreadable++
		return
	}
	l := LogLine{Time: at, Node: pop(fields, "node"), RequestID: request, Message: pop(fields, "message"), Fields: fields}
	delete(fields, "level")
	c.lines = append(c.lines, l)
}

// Names returns the names of the line's fields in order.
func (l *LogLine) FieldNames() []string {
	return slices.Sorted(maps.Keys(l.Fields))
}

// pop takes a text out of the fields.
func pop(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	delete(fields, name)
	return text
}
