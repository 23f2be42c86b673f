package length

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "umberladder/internal/test/check" // fixes the seed of rapid
)

// addStream records a stream that ended after n tokens.
func addStream(e *Estimator, n int) {
	for k := range Bucket(n) {
		e.RecordPassed(k)
	}
	e.RecordEnded(Bucket(n))
}

func lognormal(rng *rand.Rand) int {
	return max(1, int(120*math.Exp(0.9*rng.NormFloat64())))
}

func TestBuckets(t *testing.T) {
	for k := range Buckets {
		assert.Equal(t, Bucket(BucketStart(k)), k)
		assert.Equal(t, Bucket(BucketStart(k+1)-1), k)
	}
	assert.Equal(t, Bucket(0), 0)
	assert.Equal(t, Bucket(math.MaxInt32), Buckets-1)
}

// TestCalibration guards against wrong exceed probabilities: of streams at a random age, it
// compares the fraction that exceed a length with the predicted probability.
func TestCalibration(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	e := New()
	for range 4000 {
		addStream(e, lognormal(rng))
	}
	c := e.Curve()
	for _, p := range []float64{0.5, 0.1, 0.02} {
		predicted, observed, weight := 0.0, 0.0, 0.0
		for range 20000 {
			length := lognormal(rng)
			age := rng.IntN(length)
			q := c.Quantile(age, p)
			// Sampling at a random time finds a stream in proportion to its length.
			w := float64(length)
			weight += w
			predicted += w * c.ExceedProbability(age, q)
			if length > q {
				observed += w
			}
		}
		predicted, observed = predicted/weight, observed/weight
		t.Logf("p=%.2f: predicted %.4f, observed %.4f", p, predicted, observed)
		// The tolerance covers the linear interpolation within a bucket of a quarter octave.
		assert.Assert(t, observed < 1.2*predicted+0.002 && observed > predicted/1.2-0.002, "p=%g: predicted %g, observed %g", p, predicted, observed)
	}
}

// TestCensoredStreams guards against counting streams that are cut short, here at 100
// tokens, as ended.
func TestCensoredStreams(t *testing.T) {
	e := New()
	for range 2000 {
		for k := range Bucket(100) {
			e.RecordPassed(k)
		}
	}
	assert.Assert(t, e.Curve().ExceedProbability(0, 90) > 0.9)
}

func TestSurvivalDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New()
		for _, n := range rapid.SliceOfN(rapid.IntRange(1, 30000), 0, 100).Draw(t, "lengths") {
			addStream(e, n)
		}
		c := e.build()
		last := 1.0
		for _, n := range []int{1, 2, 3, 10, 50, 100, 1000, 10000, 100000, 300000} {
			s := c.Survival(n)
			assert.Assert(t, s <= last && s >= 0, "S(%d)=%g after %g", n, s, last)
			last = s
		}
	})
}

// TestOverflow compares the normal approximation with a simulation of the same streams.
func TestOverflow(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	e := New()
	for range 4000 {
		addStream(e, lognormal(rng))
	}
	c := e.Curve()
	const streams, prompt = 40, 30
	var sum Forecast
	one := c.Forecast(0, prompt)
	sum.Add(&one, streams)
	j := 0 // the horizon with the highest memory use
	for i := range sum.Mean {
		if sum.Mean[i]+1.5*math.Sqrt(sum.Var[i]) > sum.Mean[j]+1.5*math.Sqrt(sum.Var[j]) {
			j = i
		}
	}
	size := sum.Mean[j] + 1.5*math.Sqrt(sum.Var[j])
	overflows := 0
	const runs = 5000
	for range runs {
		used := 0
		for range streams {
			if lognormal(rng) > horizonSteps[j] {
				used += prompt + horizonSteps[j]
			}
		}
		if float64(used) > size {
			overflows++
		}
	}
	got, want := float64(overflows)/runs, normalTail(size-sum.Mean[j], sum.Var[j])
	assert.Assert(t, got < 2*want && got > want/3, "simulated %g, predicted %g", got, want)
	assert.Assert(t, sum.Within(size, 1.49) && !sum.Within(sum.Mean[j], 0.1))
}

func BenchmarkForecast(b *testing.B) {
	c := New().Curve()
	b.ReportAllocs()
	for b.Loop() {
		_ = c.Forecast(300, 40)
	}
}
