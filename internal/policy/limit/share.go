package limit

// Share returns the part of a limit that VM i of n may use, 0 <= i < n. The parts of
// all n VMs add up to the limit.
func Share(limit, i, n int) int {
	if n <= 0 || i < 0 || i >= n {
		panic("limit: VM index out of range")
	}
	s := limit / n
	if i < limit%n {
		s++
	}
	return s
}
