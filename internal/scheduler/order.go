package scheduler

type (
	// FIFOOrder orders by arrival: first come, first served.
	FIFOOrder struct{}

	// Order defines which of two waiting requests runs first. It is a strict
	// total order.
	Order interface {
		Before(a, b *Item) bool
	}

	// PriorityOrder orders by priority, then by the priority of the route, then by depth
	// in the call chain, the deepest first, then by the fair shares of the customers.
	PriorityOrder struct{}
)

// Before reports whether a arrived before b.
func (FIFOOrder) Before(a, b *Item) bool {
	return a.sequence < b.sequence
}

// Before reports whether a runs before b.
func (PriorityOrder) Before(a, b *Item) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.RoutePriority != b.RoutePriority {
		return a.RoutePriority < b.RoutePriority
	}
	if a.Depth != b.Depth {
		return a.Depth > b.Depth
	}
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.sequence < b.sequence
}
