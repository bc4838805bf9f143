package meter

import "time"

// arrivalSeconds is how many seconds of arrivals are kept.
const arrivalSeconds = 300

type (
	// Arrivals are a customer's requests that a node charged to the
	// customer's rate, second by second.
	Arrivals struct {
		// Customer is the customer.
		Customer string `json:"customer"`
		// First is the Unix time of the first second.
		FirstUnixSecond int64 `json:"first"`
		// Came are the requests that came in each second.
		Requests []uint32 `json:"came"`
		// Refused are those of them that were refused for the rate.
		Refused []uint32 `json:"refused"`
	}

	// arrivalRing keeps the arrivals of one customer by the second of the
	// wall clock, so that those of several nodes can be laid side by side.
	arrivalRing struct {
		seconds [arrivalSeconds]int64
		came    [arrivalSeconds]uint32
		refused [arrivalSeconds]uint32
	}
)

func (r *arrivalRing) add(now time.Time, refused bool) {
	second := now.Unix()
	i := second % arrivalSeconds
	if r.seconds[i] != second {
		r.seconds[i] = second
		r.came[i] = 0
		r.refused[i] = 0
	}
	r.came[i]++
	if refused {
		r.refused[i]++
	}
}

// list returns the seconds that are over.
func (r *arrivalRing) list(now time.Time, customer string) Arrivals {
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
			a.Requests[offset] = r.came[i]
			a.Refused[offset] = r.refused[i]
		}
	}
	return a
}
