package parser

// FieldProblem describes what is wrong with one field of a decoded file.
type FieldProblem struct {
	// Pointer is the JSON pointer of the field, such as "/services/0/name".
	Pointer string
	// Message says what is wrong.
	Message string
}

// Decode decodes JSON with comments into target, a pointer to a struct, and
// fails for fields that the struct lacks. check, which may be nil, returns the
// problems of the decoded target. file names the source in errors. The error
// joins one FieldError for each problem.
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

// NameProblem says why a name is not valid. It returns "" for a valid name.
func NameProblem(name string) string {
	if namePattern.MatchString(name) {
		return ""
	}
	return invalidNameMessage(name)
}
