package guardian

import (
	"slices"
)

// maxDepartures bounds the departures that are kept.
const maxDepartures = 64

type (
	// departure is the departure of the incarnations of a server up to one.
	departure struct {
		id string
		// startsThrough is the latest start of the incarnations, in milliseconds since the
		// Unix epoch.
		startsThrough int64
	}

	// departures keeps the departures that were acknowledged. The zero value is empty.
	departures struct {
		// list is in the order of arrival and has at most one departure of an ID.
		list []departure
		// forgottenThrough is the latest start of incarnations whose departures were
		// dropped to make room, in milliseconds since the Unix epoch.
		forgottenThrough int64
	}
)

// add keeps a departure. It drops the oldest one if there are too many.
func (d *departures) add(added departure) {
	if i := slices.IndexFunc(d.list, func(known departure) bool { return known.id == added.id }); i >= 0 {
		added.startsThrough = max(added.startsThrough, d.list[i].startsThrough)
		d.list = slices.Delete(d.list, i, i+1)
	}
	d.list = append(d.list, added)
	if len(d.list) > maxDepartures {
		d.forgottenThrough = max(d.forgottenThrough, d.list[0].startsThrough)
		d.list = slices.Delete(d.list, 0, 1)
	}
}

// covers reports whether the incarnation of the heartbeat has left.
func (d *departures) covers(h Heartbeat) bool {
	return slices.ContainsFunc(d.list, func(known departure) bool {
		return known.id == h.ID && h.StartUnixMillis <= known.startsThrough
	})
}

// anyAfter reports whether an incarnation that started after the given one has left.
func (d *departures) anyAfter(startUnixMillis int64) bool {
	return slices.ContainsFunc(d.list, func(known departure) bool { return known.startsThrough > startUnixMillis })
}

// prune drops the departures of incarnations that started before the given one, of which no
// heartbeat counts any more.
func (d *departures) prune(startUnixMillis int64) {
	d.list = slices.DeleteFunc(d.list, func(known departure) bool { return known.startsThrough < startUnixMillis })
}
