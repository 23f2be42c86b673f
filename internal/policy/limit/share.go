package limit

// Share returns what VM number i of n may use of a limit, 0 <= i < n. The
// shares of all VMs add up to the limit.
func Share(limit, i, n int) int {
	if n <= 0 || i < 0 || i >= n {
		panic("limit: a share of no VM")
	}
	s := limit / n
	if i < limit%n {
		s++
	}
	return s
}
