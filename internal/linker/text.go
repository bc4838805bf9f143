package linker

import (
	"net/http"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/framer"
)

// The text of a message has to be UTF-8, while HTTP allows other bytes. Text that is not UTF-8
// is sent as a field whose name has a colon, which no name in HTTP contains, with each byte as
// the character of that number.
const (
	// bytesPrefix precedes the name of a field whose values are sent as bytes.
	bytesPrefix = ":bytes "
	// idName, targetName and hostName name the texts of a call that are sent as bytes.
	idName     = ":id"
	targetName = ":target"
	hostName   = ":host"
)

// bytesToText returns text with one character for each byte.
func bytesToText(raw string) string {
	var text strings.Builder
	for i := range len(raw) {
		text.WriteRune(rune(raw[i]))
	}
	return text.String()
}

// textToBytes is the reverse of bytesToText.
func textToBytes(text string) string {
	raw := make([]byte, 0, len(text))
	for _, r := range text {
		raw = append(raw, byte(r))
	}
	return string(raw)
}

// mapped returns a copy of values in which each one is replaced by f.
func mapped(values []string, f func(string) string) []string {
	values = slices.Clone(values)
	for i := range values {
		values[i] = f(values[i])
	}
	return values
}

// fromHeader returns the fields of a header.
func fromHeader(h http.Header) []*framer.Field {
	fields := make([]*framer.Field, 0, len(h))
	for name, values := range h {
		if slices.ContainsFunc(values, func(v string) bool { return !utf8.ValidString(v) }) {
			name, values = bytesPrefix+name, mapped(values, bytesToText)
		}
		fields = append(fields, &framer.Field{Name: name, Values: values})
	}
	return fields
}

// toHeader returns the header of the fields, without the texts of a call among them.
func toHeader(fields []*framer.Field) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		name, values := f.GetName(), f.GetValues()
		if plainName, found := strings.CutPrefix(name, bytesPrefix); found {
			name, values = plainName, mapped(values, textToBytes)
		}
		if !strings.Contains(name, ":") {
			h[name] = values
		}
	}
	return h
}

// moveOddText moves the texts of a call that are not UTF-8 into its header.
func moveOddText(m *framer.Run) {
	for _, t := range []struct {
		name string
		text *string
	}{{idName, &m.Id}, {targetName, &m.Target}, {hostName, &m.Host}} {
		if !utf8.ValidString(*t.text) {
			m.Header = append(m.Header, &framer.Field{Name: t.name, Values: []string{bytesToText(*t.text)}})
			*t.text = ""
		}
	}
}

// restoreOddText sets the texts of c that moveOddText has moved.
func restoreOddText(c *exchanger.Call, fields []*framer.Field) {
	for _, f := range fields {
		if len(f.GetValues()) != 1 {
			continue
		}
		switch text := f.GetValues()[0]; f.GetName() {
		case idName:
			c.ID = textToBytes(text)
		case targetName:
			c.Target = textToBytes(text)
		case hostName:
			c.Host = textToBytes(text)
		}
	}
}
