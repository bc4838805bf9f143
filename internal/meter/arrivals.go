package meter

import "time"

// arrivalSeconds is how many seconds of arrivals are kept.
const arrivalSeconds = 300

type (
	// Arrivals are the requests of a customer that a node counted against the
	// customer's rate, per second.
	Arrivals struct {
		// Customer is the name of the customer.
		Customer string `json:"customer"`
		// FirstUnixSecond is the Unix time of the first second.
		FirstUnixSecond int64 `json:"first"`
		// Requests is the number of requests that arrived in each second.
		Requests []uint32 `json:"came"`
		// Refused is the number of them that were refused because of the rate.
		Refused []uint32 `json:"refused"`
	}

	// arrivalRing is a ring buffer of one customer's arrivals per second of the
	// wall clock. Wall clock seconds make the arrivals on several nodes
	// comparable.
	arrivalRing struct {
		seconds  [arrivalSeconds]int64
		requests [arrivalSeconds]uint32
		refused  [arrivalSeconds]uint32
	}
)

func (r *arrivalRing) add(now time.Time, refused bool) {
	second := now.Unix()
	i := second % arrivalSeconds
	if r.seconds[i] != second {
		r.seconds[i] = second
		r.requests[i] = 0
		r.refused[i] = 0
	}
	r.requests[i]++
	if refused {
		r.refused[i]++
	}
}

// arrivals returns the arrivals of all complete seconds that are kept.
func (r *arrivalRing) arrivals(now time.Time, customer string) Arrivals {
	a := Arrivals{
		Customer:        customer,
		FirstUnixSecond: now.Unix() - arrivalSeconds + 1,
		Requests:        make([]uint32, arrivalSeconds-1),
		Refused:         make([]uint32, arrivalSeconds-1),
	}
	for offset := range a.Requests {
		second := a.FirstUnixSecond + int64(offset)
		i := second % arrivalSeconds
		if r.seconds[i] == second {
			a.Requests[offset] = r.requests[i]
			a.Refused[offset] = r.refused[i]
		}
	}
	return a
}
