package length

import "math"

// Horizons is the number of moments ahead at which memory is predicted.
const Horizons = 6

// ahead lists the horizons in decode steps, a token a step for each stream.
var ahead = [Horizons]int{8, 16, 32, 64, 128, 256}

// Curve is a survival curve: S(n), the chance that a stream produces more
// than n tokens. It is immutable and falls from 1.
type Curve struct {
	survive [Buckets + 1]float64
	alive   [Buckets][Horizons]float64
	running Share   // of one stream met at a random moment of its run
	held    float64 // its memory at that moment, without its prompt, in tokens
}

// Survival returns S(n), linear inside a bucket.
func (c *Curve) Survival(n int) float64 {
	if n < bounds[0] {
		return 1
	}
	k := Bucket(n)
	width := float64(bounds[k+1] - bounds[k])
	in := math.Min(float64(n-bounds[k])/width, 1)
	return c.survive[k] + in*(c.survive[k+1]-c.survive[k])
}

// Exceeds returns the chance that a stream which has produced age tokens
// produces more than n in all.
func (c *Curve) Exceeds(age, n int) float64 {
	if n <= age {
		return 1
	}
	s := c.Survival(age)
	if s <= 0 {
		return 0
	}
	return c.Survival(n) / s
}

// Quantile returns the least length that a stream of the given age passes
// with a chance of at most p.
func (c *Curve) Quantile(age int, p float64) int {
	for k := Bucket(age) + 1; k < Buckets; k++ {
		if c.Exceeds(age, bounds[k]) <= p {
			return bounds[k]
		}
	}
	return bounds[Buckets]
}

// Mean returns the expected length of a new stream, in tokens.
func (c *Curve) Mean() float64 {
	m := float64(bounds[0])
	for k := range Buckets {
		width := float64(bounds[k+1] - bounds[k])
		m += width * (c.survive[k] + c.survive[k+1]) / 2
	}
	return m
}

func (c *Curve) tabulate() {
	for k := range Buckets {
		for j := range Horizons {
			c.alive[k][j] = c.Exceeds(bounds[k], bounds[k]+ahead[j])
		}
	}
}

// tabulateRunning averages over the ages at which a running stream is met: an
// age in proportion to the chance of reaching it.
func (c *Curve) tabulateRunning() {
	sum := 0.0
	for k := range Buckets {
		middle := (bounds[k] + bounds[k+1]) / 2
		w := float64(bounds[k+1]-bounds[k]) * (c.survive[k] + c.survive[k+1]) / 2
		s := c.Share(middle, 0)
		c.running.Add(&s, w)
		c.held += w * float64(middle)
		sum += w
	}
	c.held /= sum
	for j := range Horizons {
		c.running.Mean[j] /= sum
		c.running.Var[j] /= sum
	}
}

// Running predicts n streams met at random moments of their runs that hold
// the given memory together, in tokens.
func (c *Curve) Running(n int, memory float64) Share {
	var s Share
	if n <= 0 || memory <= 0 {
		return s
	}
	scale := memory / (float64(n) * c.held)
	for j := range Horizons {
		s.Mean[j] = float64(n) * scale * c.running.Mean[j]
		s.Var[j] = float64(n) * scale * scale * c.running.Var[j]
	}
	return s
}

// Share is what streams are predicted to hold of an engine's memory at each
// horizon, as the mean and the variance of a sum of independent streams, in
// tokens and tokens squared.
type Share struct {
	Mean [Horizons]float64
	Var  [Horizons]float64
}

// Share predicts one stream: at horizon t it holds prompt+age+t tokens if it
// still runs and none if not.
func (c *Curve) Share(age, prompt int) Share {
	var s Share
	alive := &c.alive[Bucket(age)]
	for j := range Horizons {
		held := float64(prompt + age + ahead[j])
		p := alive[j]
		s.Mean[j] = held * p
		s.Var[j] = held * held * p * (1 - p)
	}
	return s
}

// Add adds n times o to s.
func (s *Share) Add(o *Share, n float64) {
	for j := range Horizons {
		s.Mean[j] += n * o.Mean[j]
		s.Var[j] += n * o.Var[j]
	}
}

// Overflow returns the greatest chance, over the horizons, that the memory
// held passes size, by the normal approximation of the sum.
func (s *Share) Overflow(size float64) float64 {
	worst := 0.0
	for j := range Horizons {
		worst = math.Max(worst, tail(size-s.Mean[j], s.Var[j]))
	}
	return worst
}

// tail returns P(X > room) for a normal X of mean 0 and variance v.
func tail(room, v float64) float64 {
	if v <= 0 {
		if room < 0 {
			return 1
		}
		return 0
	}
	return 0.5 * math.Erfc(room/math.Sqrt(2*v))
}

// Within reports whether the chance of passing size stays under the bound at
// each horizon, given the bound's quantile z (see Quantile of the normal
// distribution, Z).
func (s *Share) Within(size, z float64) bool {
	for j := range Horizons {
		room := size - s.Mean[j]
		if room < 0 || room*room < z*z*s.Var[j] {
			return false
		}
	}
	return true
}

// Z returns the z with P(X > z) = p for a standard normal X, 0 < p < 0.5.
func Z(p float64) float64 { return math.Sqrt2 * math.Erfinv(1-2*p) }
