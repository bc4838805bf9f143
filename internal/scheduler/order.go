package scheduler

type (
	// Arrival is the order of first come, first served.
	FIFOOrder struct{}

	// Chain orders by the part of the call chain that is already done, then
	// by priority, then by the fair shares of the customers. It suits calls
	// that carry no priority of the chain they belong to.
	DepthOrder struct{}

	// Order says which of two waiting requests comes first. It is a strict
	// total order.
	Order interface {
		Before(a, b *Item) bool
	}

	// Progress orders by priority, then by the part of the call chain that is
	// already done, then by the fair shares of the customers.
	PriorityOrder struct{}
)

// Before reports whether a came before b.
func (FIFOOrder) Before(a, b *Item) bool {
	return a.sequence < b.sequence
}

// Before reports whether a runs before b.
func (DepthOrder) Before(a, b *Item) bool {
	if a.Depth != b.Depth {
		return a.Depth > b.Depth
	}
	return PriorityOrder{}.Before(a, b)
}

// Before reports whether a runs before b.
func (PriorityOrder) Before(a, b *Item) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.Depth != b.Depth {
		return a.Depth > b.Depth
	}
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.sequence < b.sequence
}
