package linker

import (
	"net/http"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/framer"
)

// retire takes a silent session out of use for new exchanges. Idempotent exchanges end, so
// that they can be retried on another node. The others wait for their answers, because the
// node may only have been paused. The caller holds the lock.
func (k *link) retire(s *session) {
	if !k.current.CompareAndSwap(s, nil) {
		return
	}
	k.linker.peersVersion.Add(1)
	k.failures.Add(1)
	for number, e := range k.pending {
		if e.session == s && e.idempotent {
			k.removeExchange(number, e)
			e.done <- result{refusal: k.silentRefusal()}
			s.enqueue(&framer.Frame{Number: number, Cancel: true})
		}
	}
	close(s.retired)
	k.closeRetiredIfIdle(s)
}

// closeRetiredIfIdle closes a retired session on which no exchange is pending. The caller
// holds the lock.
func (k *link) closeRetiredIfIdle(s *session) {
	if !s.isRetired() {
		return
	}
	for _, e := range k.pending {
		if e.session == s {
			return
		}
	}
	s.close()
}

// silentRefusal returns the refusal of an exchange that may have run before the session
// broke or went silent.
func (k *link) silentRefusal() *exchanger.Refusal {
	return exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonSilent, "the connection to node %s broke or went silent", k.member.Name)
}
