package fleetload

// meanParts returns the mean number of tokens of the distinct sampled parts, by service.
func meanParts(samples []Sample) map[string]int {
	type key struct {
		service string
		id      uint64
	}
	seen := map[key]bool{}
	out, counts := map[string]int{}, map[string]int{}
	for _, s := range samples {
		for _, p := range s.Parts {
			if k := (key{p.Service, p.ID}); !seen[k] {
				seen[k] = true
				out[p.Service] += p.Tokens
				counts[p.Service]++
			}
		}
	}
	for service, n := range counts {
		out[service] /= n
	}
	return out
}
