package length

import "math"

// Horizons is the number of future times for which memory is predicted.
const Horizons = 6

// horizonSteps lists the horizons in decode steps. Each stream generates one token per step.
var horizonSteps = [Horizons]int{8, 16, 32, 64, 128, 256}

// Curve is a survival curve: S(n) is the probability that a stream generates more than n
// tokens. It decreases from 1. A Curve is immutable.
type Curve struct {
	survival [Buckets + 1]float64 // S at the start of each bucket
	// survivalAtHorizon is the probability that a stream at the start of a bucket still
	// runs at each horizon.
	survivalAtHorizon [Buckets][Horizons]float64
	meanForecast      Forecast // forecast of a stream at a random time during its run
	meanMemory        float64  // mean memory of such a stream, in tokens, without its prompt
}

// Survival returns S(n), interpolated linearly within a bucket.
func (c *Curve) Survival(n int) float64 {
	if n < bucketStarts[0] {
		return 1
	}
	k := Bucket(n)
	width := float64(bucketStarts[k+1] - bucketStarts[k])
	fraction := math.Min(float64(n-bucketStarts[k])/width, 1)
	return c.survival[k] + fraction*(c.survival[k+1]-c.survival[k])
}

// ExceedProbability returns the probability that a stream that has generated age tokens
// generates more than n in total.
func (c *Curve) ExceedProbability(age, n int) float64 {
	if n <= age {
		return 1
	}
	s := c.Survival(age)
	if s <= 0 {
		return 0
	}
	return c.Survival(n) / s
}

// Quantile returns the first bucket start above the given age that a stream of that age
// exceeds with a probability of at most p.
func (c *Curve) Quantile(age int, p float64) int {
	for k := Bucket(age) + 1; k < Buckets; k++ {
		if c.ExceedProbability(age, bucketStarts[k]) <= p {
			return bucketStarts[k]
		}
	}
	return bucketStarts[Buckets]
}

// Mean returns the expected length of a new stream, in tokens.
func (c *Curve) Mean() float64 {
	m := float64(bucketStarts[0])
	for k := range Buckets {
		width := float64(bucketStarts[k+1] - bucketStarts[k])
		m += width * (c.survival[k] + c.survival[k+1]) / 2
	}
	return m
}

// tabulateHorizons computes survivalAtHorizon.
func (c *Curve) tabulateHorizons() {
	for k := range Buckets {
		for j := range Horizons {
			c.survivalAtHorizon[k][j] = c.ExceedProbability(bucketStarts[k], bucketStarts[k]+horizonSteps[j])
		}
	}
}

// tabulateMeanForecast computes meanForecast and meanMemory. It averages over the ages of
// running streams, weighted by the probability that a stream reaches the age.
func (c *Curve) tabulateMeanForecast() {
	sum := 0.0
	for k := range Buckets {
		middle := (bucketStarts[k] + bucketStarts[k+1]) / 2
		w := float64(bucketStarts[k+1]-bucketStarts[k]) * (c.survival[k] + c.survival[k+1]) / 2
		f := c.Forecast(middle, 0)
		c.meanForecast.Add(&f, w)
		c.meanMemory += w * float64(middle)
		sum += w
	}
	c.meanMemory /= sum
	for j := range Horizons {
		c.meanForecast.Mean[j] /= sum
		c.meanForecast.Var[j] /= sum
	}
}

// ForecastRunning returns the forecast of n streams at random times during their runs,
// which together use the given memory, in tokens.
func (c *Curve) ForecastRunning(n int, memory float64) Forecast {
	var f Forecast
	if n <= 0 || memory <= 0 {
		return f
	}
	scale := memory / (float64(n) * c.meanMemory)
	for j := range Horizons {
		f.Mean[j] = float64(n) * scale * c.meanForecast.Mean[j]
		f.Var[j] = float64(n) * scale * scale * c.meanForecast.Var[j]
	}
	return f
}

// Forecast is the predicted memory use of streams on an engine at each horizon: the mean
// and the variance of a sum of independent streams, in tokens and tokens squared.
type Forecast struct {
	Mean [Horizons]float64
	Var  [Horizons]float64
}

// Forecast returns the forecast of one stream with a prompt of the given length that has
// generated age tokens. At horizon t, the stream uses prompt+age+t tokens if it still runs
// and none otherwise.
func (c *Curve) Forecast(age, prompt int) Forecast {
	var f Forecast
	survival := &c.survivalAtHorizon[Bucket(age)]
	for j := range Horizons {
		memory := float64(prompt + age + horizonSteps[j])
		pRunning := survival[j]
		f.Mean[j] = memory * pRunning
		f.Var[j] = memory * memory * pRunning * (1 - pRunning)
	}
	return f
}

// Add adds n times o to f.
func (f *Forecast) Add(o *Forecast, n float64) {
	for j := range Horizons {
		f.Mean[j] += n * o.Mean[j]
		f.Var[j] += n * o.Var[j]
	}
}

// OverflowProbability returns the highest probability, over the horizons, that the memory
// use exceeds size, by the normal approximation of the sum.
func (f *Forecast) OverflowProbability(size float64) float64 {
	worst := 0.0
	for j := range Horizons {
		worst = math.Max(worst, normalTail(size-f.Mean[j], f.Var[j]))
	}
	return worst
}

// normalTail returns P(X > free) for a normal X with mean 0 and the given variance.
func normalTail(free, variance float64) float64 {
	if variance <= 0 {
		if free < 0 {
			return 1
		}
		return 0
	}
	return 0.5 * math.Erfc(free/math.Sqrt(2*variance))
}

// Within reports whether the probability of exceeding size is below a bound at each
// horizon. z is the bound's quantile, as returned by NormalQuantile.
func (f *Forecast) Within(size, z float64) bool {
	for j := range Horizons {
		free := size - f.Mean[j]
		if free < 0 || free*free < z*z*f.Var[j] {
			return false
		}
	}
	return true
}

// NormalQuantile returns the z with P(X > z) = p for a standard normal X, 0 < p < 0.5.
func NormalQuantile(p float64) float64 { return math.Sqrt2 * math.Erfinv(1-2*p) }
