package beater

import "testing"

// BenchmarkDetector measures one heartbeat round of a delegate and of another
// member, among 420 members in 10 failure domains.
func BenchmarkDetector(b *testing.B) {
	for _, role := range []string{"delegate", "member"} {
		b.Run(role, func(b *testing.B) {
			n := newTestNetwork(10, 42)
			n.run(5)
			name := n.delegate("d00")
			if role == "member" {
				name = "d00-n00"
				if name == n.delegate("d00") {
					name = "d00-n01"
				}
			}
			d := n.detectors[name]
			for b.Loop() {
				d.HeartbeatTargets(n.now)
				d.ProposeEvictions(n.now, true)
				d.Suspects()
			}
		})
	}
}
