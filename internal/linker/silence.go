package linker

import (
	"net/http"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/framer"
)

// retire takes a silent session out of use. Exchanges that may be made elsewhere end;
// the others wait for their answers, as the node may only have been paused. The caller
// holds the lock.
func (k *link) retire(s *session) {
	if !k.current.CompareAndSwap(s, nil) {
		return
	}
	k.owner.version.Add(1)
	k.downs.Add(1)
	for number, p := range k.pending {
		if p.session == s && p.repeatable {
			delete(k.pending, number)
			p.done <- result{refusal: k.silent()}
			s.put(&framer.Frame{Number: number, Cancel: true})
		}
	}
	close(s.retired)
	k.releaseRetired(s)
}

// releaseRetired closes a retired session on which no answer is due. The caller holds
// the lock.
func (k *link) releaseRetired(s *session) {
	if !s.isRetired() {
		return
	}
	for _, p := range k.pending {
		if p.session == s {
			return
		}
	}
	s.close()
}

func (k *link) silent() *exchanger.Refusal {
	return exchanger.Unknown(http.StatusBadGateway, exchanger.ReasonSilent, "the connection to node %s broke or went silent", k.member.Name)
}
