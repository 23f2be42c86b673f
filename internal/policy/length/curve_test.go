package length

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "umberladder/internal/test/check" // fixes the seed of rapid
)

// run feeds one finished stream of n tokens.
func run(e *Estimator, n int) {
	for k := range Bucket(n) {
		e.Passed(k)
	}
	e.Ended(Bucket(n))
}

func lognormal(rng *rand.Rand) int {
	return max(1, int(120*math.Exp(0.9*rng.NormFloat64())))
}

func TestBuckets(t *testing.T) {
	for k := range Buckets {
		assert.Equal(t, Bucket(Bound(k)), k)
		assert.Equal(t, Bucket(Bound(k+1)-1), k)
	}
	assert.Equal(t, Bucket(0), 0)
	assert.Equal(t, Bucket(math.MaxInt32), Buckets-1)
}

// TestCalibration asks, of streams at a random age, how many passed the length
// that the curve says they pass with chance p.
func TestCalibration(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	e := New()
	for range 4000 {
		run(e, lognormal(rng))
	}
	c := e.Curve()
	for _, p := range []float64{0.5, 0.1, 0.02} {
		said, passed, weight := 0.0, 0.0, 0.0
		for range 20000 {
			length := lognormal(rng)
			age := rng.IntN(length)
			q := c.Quantile(age, p)
			// A stream is met while it runs in proportion to its length.
			w := float64(length)
			weight += w
			said += w * c.Exceeds(age, q)
			if length > q {
				passed += w
			}
		}
		said, passed = said/weight, passed/weight
		t.Logf("p=%.2f: said %.4f, passed %.4f", p, said, passed)
		// The curve is linear inside a bucket of a quarter octave.
		assert.Assert(t, passed < 1.2*said+0.002 && passed > said/1.2-0.002, "p=%g: said %g, passed %g", p, said, passed)
	}
}

// TestCensored feeds streams that are cut at 100 tokens: the curve must not
// take the cut for an end.
func TestCensored(t *testing.T) {
	e := New()
	for range 2000 {
		for k := range Bucket(100) {
			e.Passed(k)
		}
	}
	assert.Assert(t, e.Curve().Exceeds(0, 90) > 0.9)
}

func TestCurveFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New()
		for _, n := range rapid.SliceOfN(rapid.IntRange(1, 30000), 0, 100).Draw(t, "lengths") {
			run(e, n)
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

// TestOverflow holds the normal approximation against a simulation of the
// same streams.
func TestOverflow(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	e := New()
	for range 4000 {
		run(e, lognormal(rng))
	}
	c := e.Curve()
	const streams, prompt = 40, 30
	var sum Share
	one := c.Share(0, prompt)
	sum.Add(&one, streams)
	j := 0 // the horizon that binds
	for i := range sum.Mean {
		if sum.Mean[i]+1.5*math.Sqrt(sum.Var[i]) > sum.Mean[j]+1.5*math.Sqrt(sum.Var[j]) {
			j = i
		}
	}
	size := sum.Mean[j] + 1.5*math.Sqrt(sum.Var[j])
	over := 0
	const runs = 5000
	for range runs {
		held := 0
		for range streams {
			if lognormal(rng) > ahead[j] {
				held += prompt + ahead[j]
			}
		}
		if float64(held) > size {
			over++
		}
	}
	got, want := float64(over)/runs, tail(size-sum.Mean[j], sum.Var[j])
	assert.Assert(t, got < 2*want && got > want/3, "simulated %g, said %g", got, want)
	assert.Assert(t, sum.Within(size, 1.49) && !sum.Within(sum.Mean[j], 0.1))
}

func BenchmarkShare(b *testing.B) {
	c := New().Curve()
	b.ReportAllocs()
	for b.Loop() {
		_ = c.Share(300, 40)
	}
}
