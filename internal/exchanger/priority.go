package exchanger

import "fmt"

// Priorities, the most important first.
const (
	PriorityCritical Priority = iota
	PriorityHigh
	PriorityNormal
	PriorityLow
	// PriorityCount is the number of priorities.
	PriorityCount
)

var priorityNames = [PriorityCount]string{"critical", "high", "normal", "low"}

// Priority orders requests; a smaller value is more important and shed later.
type Priority int

// ParsePriority returns the priority of that name, or an error if there is none.
func ParsePriority(name string) (Priority, error) {
	for p, n := range priorityNames {
		if n == name {
			return Priority(p), nil
		}
	}
	return 0, fmt.Errorf("priority %q is none of critical, high, normal, low", name)
}

// MarshalText returns the priority's name, or an error if p is no known priority.
func (p Priority) MarshalText() ([]byte, error) {
	if p < 0 || p >= PriorityCount {
		return nil, fmt.Errorf("priority %d is not between 0 and %d", int(p), int(PriorityCount)-1)
	}
	return []byte(priorityNames[p]), nil
}

// String returns the priority's name, or its number if p is no known priority.
func (p Priority) String() string {
	if p < 0 || p >= PriorityCount {
		return fmt.Sprintf("priority(%d)", int(p))
	}
	return priorityNames[p]
}

// UnmarshalText sets p to the priority that text names.
func (p *Priority) UnmarshalText(text []byte) (err error) {
	*p, err = ParsePriority(string(text))
	return err
}
