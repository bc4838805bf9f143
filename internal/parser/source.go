// Package parser decodes and validates manifests and settings, which are JSON
// with comments. Errors name the file, line and field of each problem.
package parser

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

type (
	// FieldError describes what is wrong with one field of a file.
	FieldError struct {
		// File is the name of the file.
		File string
		// Line is the line number, counted from 1; 0 when the field is
		// missing altogether or its line is unknown.
		Line int
		// Field is the path of the field, such as "services[0].name".
		Field string
		// Problem says what is wrong.
		Problem string
	}

	// problem describes what is wrong with a decoded value at a JSON pointer.
	problem struct {
		pointer string
		message string
	}

	// source is a parsed file, used to find the lines of fields.
	source struct {
		file string
		data []byte
		tree hujson.Value
	}
)

// Error returns the file, line, field and problem on one line.
func (e *FieldError) Error() string {
	place := e.File
	if e.Line > 0 {
		place = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", place, e.Problem)
	}
	return fmt.Sprintf("%s: %s: %s", place, e.Field, e.Problem)
}

// decode decodes JSON with comments into target, a pointer to a struct. The
// error is a FieldError or joins several.
func decode(file string, data []byte, target any) (s *source, err error) {
	tree, err := hujson.Parse(data)
	if err != nil {
		return nil, &FieldError{File: file, Line: syntaxLine(err), Problem: syntaxMessage(err)}
	}
	s = &source{file: file, data: data, tree: tree}
	var unknown []problem
	unknownFields(&s.tree, reflect.TypeOf(target), "", &unknown)
	if len(unknown) > 0 {
		return nil, s.errors(unknown)
	}
	standardTree := tree.Clone()
	standardTree.Standardize()
	standardJSON := standardTree.Pack()
	if err := json.Unmarshal(standardJSON, target); err != nil {
		return nil, s.decodeError(standardJSON, err)
	}
	return s, nil
}

// decodeError converts an error of encoding/json into a FieldError.
// standardJSON is the JSON without comments that was decoded. Its lines are those
// of the file.
func (s *source) decodeError(standardJSON []byte, err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return &FieldError{
			File:    s.file,
			Line:    lineAt(standardJSON, int(typeError.Offset)),
			Field:   typeError.Field,
			Problem: fmt.Sprintf("got %s, want %s", typeError.Value, typeError.Type),
		}
	}
	return &FieldError{File: s.file, Line: s.lineOfQuoted(err.Error()), Problem: err.Error()}
}

// errors joins one FieldError for each problem. It returns nil for no problems.
func (s *source) errors(problems []problem) error {
	joined := make([]error, 0, len(problems))
	for _, p := range problems {
		joined = append(joined, &FieldError{
			File:    s.file,
			Line:    s.line(p.pointer),
			Field:   fieldName(p.pointer),
			Problem: p.message,
		})
	}
	return errors.Join(joined...)
}

// line returns the line of the value at pointer, or of its closest ancestor
// when that value does not exist, or 0.
func (s *source) line(pointer string) int {
	for {
		if v := s.tree.Find(pointer); v != nil {
			return lineAt(s.data, v.StartOffset)
		}
		i := strings.LastIndexByte(pointer, '/')
		if i < 0 {
			return 0
		}
		pointer = pointer[:i]
	}
}

// lineOfQuoted returns the first line that contains the text that message
// quotes, or 0.
func (s *source) lineOfQuoted(message string) int {
	_, rest, found := strings.Cut(message, `"`)
	if !found {
		return 0
	}
	text, _, _ := strings.Cut(rest, `"`)
	i := bytes.Index(s.data, []byte(`"`+text+`"`))
	if i < 0 {
		return 0
	}
	return lineAt(s.data, i)
}

// fieldName converts a JSON pointer to a path such as "services[0].name".
func fieldName(pointer string) string {
	var b strings.Builder
	for part := range strings.SplitSeq(strings.TrimPrefix(pointer, "/"), "/") {
		if part != "" && part[0] >= '0' && part[0] <= '9' {
			fmt.Fprintf(&b, "[%s]", part)
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(part)
	}
	return b.String()
}

func lineAt(data []byte, offset int) int {
	return 1 + bytes.Count(data[:min(offset, len(data))], []byte("\n"))
}

// syntaxLine returns the line that an error of hujson names, or 0.
func syntaxLine(err error) int {
	line := 0
	_, rest, _ := strings.Cut(err.Error(), "line ")
	_, _ = fmt.Sscanf(rest, "%d", &line)
	return line
}

func syntaxMessage(err error) string {
	return strings.TrimPrefix(err.Error(), "hujson: ")
}

// structFields returns the types of a struct's fields by their JSON names.
func structFields(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = f.Type
		}
	}
	return fields
}

// unknownFields appends to found a problem for each JSON field of v that is
// duplicated or that t, the type to decode into, lacks.
func unknownFields(v *hujson.Value, t reflect.Type, pointer string, found *[]problem) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch w := v.Value.(type) {
	case *hujson.Object:
		unknownMembers(w, t, pointer, found)
	case *hujson.Array:
		if t.Kind() != reflect.Slice {
			return
		}
		for i := range w.Elements {
			unknownFields(&w.Elements[i], t.Elem(), fmt.Sprintf("%s/%d", pointer, i), found)
		}
	}
}

// unknownMembers does for the fields of an object what unknownFields does for any
// value.
func unknownMembers(o *hujson.Object, t reflect.Type, pointer string, found *[]problem) {
	if t.Kind() != reflect.Struct {
		return
	}
	fields := structFields(t)
	seen := map[string]bool{}
	for i := range o.Members {
		name := o.Members[i].Name.Value.(hujson.Literal).String()
		memberPointer := pointer + "/" + name
		fieldType, known := fields[name]
		switch {
		case !known:
			*found = append(*found, problem{memberPointer, "unknown field"})
		case seen[name]:
			*found = append(*found, problem{memberPointer, "duplicate field"})
		default:
			unknownFields(&o.Members[i].Value, fieldType, memberPointer, found)
		}
		seen[name] = true
	}
}

// huJSONTree returns the parsed JSON encoding of v.
func huJSONTree(v any) (tree hujson.Value, err error) {
	data, err := json.Marshal(v)
	if err != nil {
		return tree, fmt.Errorf("encode: %w", err)
	}
	return hujson.Parse(data)
}
