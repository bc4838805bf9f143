package scheduler

// maxTrackedCustomers is the number of customers above which idle ones are dropped.
const maxTrackedCustomers = 4096

// fairShares tracks the service that each customer has received, by start-time
// fair queueing (Goyal, Vin, Cheng: "Start-time Fair Queueing", SIGCOMM 1996).
// Each request gets the customer's virtual time as its start tag; the smallest
// tag belongs to the worst-served customer. A customer that was idle starts at
// the current virtual time and has accumulated no credit.
type fairShares struct {
	// virtualTime is in requests: each request advances the tag of its customer by 1.
	virtualTime float64
	// finishTags holds the virtual time after each customer's last request.
	finishTags map[string]float64
}

// charge returns the start tag of a new request and charges its customer for it.
func (s *fairShares) charge(i Item) (tag float64) {
	if s.finishTags == nil || len(s.finishTags) > maxTrackedCustomers {
		s.prune()
	}
	tag = max(s.virtualTime, s.finishTags[i.Customer])
	s.finishTags[i.Customer] = tag + 1
	return tag
}

// refund reverses the charge of a request that has not run.
func (s *fairShares) refund(i Item) {
	s.finishTags[i.Customer]--
}

// advance moves the virtual time to the tag of a request that starts, but not past
// the tags of waiting requests: a more important request may run before its turn.
func (s *fairShares) advance(tag float64, waiting []Item) {
	for i := range waiting {
		tag = min(tag, waiting[i].startTag)
	}
	s.virtualTime = max(s.virtualTime, tag)
}

// prune drops the customers that would start at the current virtual time
// anyway.
func (s *fairShares) prune() {
	kept := map[string]float64{}
	for c, f := range s.finishTags {
		if f > s.virtualTime {
			kept[c] = f
		}
	}
	s.finishTags = kept
}
