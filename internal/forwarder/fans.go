package forwarder

// maxTreeDepth bounds the depth to which calls of calls are followed.
const maxTreeDepth = 32

// meanFans returns the mean number of calls that a run of a service makes, by
// service. The caller holds the lock.
func (f *Forwarder) meanFans(service string) map[string]float64 {
	mean := map[string]float64{}
	count := 0.0
	for _, m := range f.fans {
		if m.service == service && len(m.fans) > 0 {
			count++
			for s, n := range m.fans {
				mean[s] += n
			}
		}
	}
	for s := range mean {
		mean[s] /= count
	}
	return mean
}

// tree is Tree. The caller holds the lock.
func (f *Forwarder) tree(service string) map[string]float64 {
	total := map[string]float64{}
	f.addTree(total, service, 1, maxTreeDepth)
	return total
}

func (f *Forwarder) addTree(total map[string]float64, service string, times float64, depth int) {
	total[service] += times
	if depth == 0 || times < 0.01 {
		return
	}
	for s, n := range f.meanFans(service) {
		if s != service {
			f.addTree(total, s, times*n, depth-1)
		}
	}
}
