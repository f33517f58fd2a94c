package scheduler

// randomSource is a permuted congruential generator (PCG-XSH-RR 64/32). Simulations rely on it: the same seed gives the
// same decisions.
type randomSource struct{ state uint64 }

const (
	pcgMultiplier = 6364136223846793005
	pcgIncrement  = 1442695040888963407
)

func newRandomSource(seed uint64) randomSource {
	r := randomSource{seed + pcgIncrement}
	r.uniform()
	return r
}

// uniform returns a number of at least 0 and below 1.
func (r *randomSource) uniform() float64 {
	old := r.state
	r.state = old*pcgMultiplier + pcgIncrement
	word, rotation := uint32(((old>>18)^old)>>27), uint32(old>>59)
	return float64(word>>rotation|word<<((-rotation)&31)) / (1 << 32)
}
