// Package differ compares two manifests field by field.
package differ

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/flamingotack/flamingotack/internal/parser"
)

const (
	// Added marks a field that only the new manifest contains.
	Added ChangeKind = "added"
	// Changed marks a field whose value differs.
	Changed ChangeKind = "changed"
	// Removed marks a field that only the old manifest contains.
	Removed ChangeKind = "removed"

	// shownDigestDigits is the number of digits of a key's digest in a field's
	// path.
	shownDigestDigits = 12
)

type (
	// Change is one field that differs between two manifests.
	Change struct {
		// Kind says how the field differs.
		Kind ChangeKind `json:"kind"`
		// Field is the path of the field. Elements of lists, such as services,
		// routes and customers, are addressed by name instead of index.
		Field string `json:"field"`
		// Old is the old value as JSON; empty for an added field.
		Old string `json:"old,omitempty"`
		// New is the new value as JSON; empty for a removed field.
		New string `json:"new,omitempty"`
	}

	// ChangeKind says how a field differs.
	ChangeKind string

	// fieldValues maps the path of each field to its value as JSON.
	fieldValues map[string]string
)

// Compare returns the fields that differ, ordered by path. A nil manifest has no
// fields.
func Compare(before, after *parser.Manifest) (changes []Change, err error) {
	defer func() { err = errors.Wrap(err, "compare manifests") }()
	from, err := flatten(before)
	if err != nil {
		return nil, err
	}
	to, err := flatten(after)
	if err != nil {
		return nil, err
	}
	all := maps.Clone(from)
	maps.Copy(all, to)
	for _, field := range slices.Sorted(maps.Keys(all)) {
		if c, differs := compareField(field, from, to); differs {
			changes = append(changes, c)
		}
	}
	return changes, nil
}

// String returns the change on one line that starts with + for an added, - for a
// removed and ~ for a changed field.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return strings.TrimRight(fmt.Sprintf("+ %s  %s", c.Field, c.New), " ")
	case Removed:
		return strings.TrimRight(fmt.Sprintf("- %s  %s", c.Field, c.Old), " ")
	default:
		return fmt.Sprintf("~ %s  %s -> %s", c.Field, c.Old, c.New)
	}
}

func (f fieldValues) add(path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for name, member := range v {
			f.add(path+"."+name, member)
		}
	case []any:
		for _, element := range v {
			f.addElement(path, element)
		}
	default:
		text, _ := json.Marshal(v)
		f[strings.TrimPrefix(path, ".")] = string(text)
	}
}

// addElement adds an element of a list under its name, so that the order of the
// list does not matter.
func (f fieldValues) addElement(path string, element any) {
	switch v := element.(type) {
	case map[string]any:
		f.add(fmt.Sprintf("%s[%s]", path, elementName(v)), v)
	case string:
		if strings.HasSuffix(path, ".keys") {
			v = v[:min(shownDigestDigits, len(v))]
		}
		f[fmt.Sprintf("%s[%s]", strings.TrimPrefix(path, "."), v)] = ""
	}
}

func compareField(field string, from, to fieldValues) (c Change, differs bool) {
	before, inOld := from[field]
	after, inNew := to[field]
	switch {
	case !inOld:
		return Change{Kind: Added, Field: field, New: after}, true
	case !inNew:
		return Change{Kind: Removed, Field: field, Old: before}, true
	default:
		return Change{Kind: Changed, Field: field, Old: before, New: after}, before != after
	}
}

func flatten(m *parser.Manifest) (f fieldValues, err error) {
	f = fieldValues{}
	if m == nil {
		return f, nil
	}
	data, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	var tree any
	if err := json.Unmarshal(data, &tree); err != nil {
		return nil, err
	}
	f.add("", tree)
	return f, nil
}

// elementName returns the name of a service or customer, the class of an
// objective, or the methods and path of a route.
func elementName(members map[string]any) string {
	if name, ok := members["name"].(string); ok {
		return name
	}
	if class, ok := members["class"].(string); ok {
		return class
	}
	var parts []string
	if methods, ok := members["methods"].([]any); ok {
		for _, m := range methods {
			parts = append(parts, fmt.Sprint(m))
		}
	}
	return strings.Join(append(parts, fmt.Sprint(members["path"])), " ")
}
