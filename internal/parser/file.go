package parser

// Fault is what is wrong with one field of a decoded file.
type FieldProblem struct {
	// Pointer is the JSON pointer of the field, such as "/services/0/name".
	Pointer string
	// Text says what is wrong.
	Message string
}

// Decode fills target, a pointer to a struct, from JSON with comments and
// refuses fields that the struct lacks. check, which may be nil, then returns
// the faults of the filled target. The error joins one FieldError for each
// fault; file only names the source.
func Decode(file string, data []byte, target any, check func() []FieldProblem) error {
	s, err := decode(file, data, target)
	if err != nil || check == nil {
		return err
	}
	var found []problem
	for _, f := range check() {
		found = append(found, problem{f.Pointer, f.Message})
	}
	return s.errors(found)
}

// NameFault says what is wrong with a name; it is empty for a good one.
func NameProblem(name string) string {
	if namePattern.MatchString(name) {
		return ""
	}
	return nameProblem(name)
}
