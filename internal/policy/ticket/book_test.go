package ticket

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	epoch = time.Unix(1000, 0)
	terms = Terms{Earliest: 4 * time.Second, Latest: 12 * time.Second, Rate: 10}
)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func Example() {
	b, now := New(), time.Unix(0, 0)
	first := b.Issue(1, 5, terms, now)
	second := b.Issue(2, 5, terms, now)
	fmt.Println(first, second)
	fmt.Println(b.Present(2, now.Add(first)), b.Present(2, now.Add(second)))
	// Output:
	// 4s 4.5s
	// false true
}

// TestSpread guards against refused calls whose delays make them return all at once, and against
// tickets beyond the latest time.
func TestSpread(t *testing.T) {
	b := New()
	for i := range 9 {
		assert.Equal(t, b.Issue(uint64(i+1), 10, terms, epoch), terms.Earliest+time.Duration(i)*time.Second)
	}
	assert.Equal(t, b.Issue(100, 10, terms, epoch), terms.Latest)
	assert.Equal(t, b.Len(), 9)
	assert.Equal(t, b.Issue(101, 10, terms, at(time.Minute)), terms.Earliest) // the times that have passed are free
}

// TestEarly guards against a call that gets a better place by returning early or often.
func TestEarly(t *testing.T) {
	b := New()
	b.Issue(1, 10, terms, epoch)
	want := at(b.Issue(2, 10, terms, epoch))
	for now := epoch; now.Before(want); now = now.Add(time.Second / 2) {
		assert.Assert(t, !b.Present(2, now))
		assert.Equal(t, now.Add(b.Issue(2, 10, terms, now)), want)
		if now.Equal(at(time.Second)) {
			assert.Equal(t, b.Issue(3, 10, terms, now), 5*time.Second) // and it doesn't delay others
		}
	}
	assert.Assert(t, b.Present(2, want))
}

// TestEarlierSlots guards against calls that must return soon and get no ticket, because calls that
// may wait for long have tickets up to their latest time.
func TestEarlierSlots(t *testing.T) {
	b, soon := New(), Terms{Earliest: time.Second, Latest: 2 * time.Second, Rate: 10}
	for b.Issue(uint64(b.Len()+1), 10, terms, epoch) < terms.Latest {
	}
	assert.Equal(t, b.Issue(100, 10, soon, epoch), soon.Earliest)
	assert.Equal(t, b.Issue(101, 10, soon, epoch), soon.Latest)
	assert.Assert(t, b.Present(100, at(soon.Earliest)) && b.Present(101, at(soon.Latest)))
	n := b.Len()
	assert.Equal(t, b.Issue(102, 10, soon, epoch), soon.Latest)
	assert.Equal(t, b.Len(), n, "it has no ticket")
}

// TestRefusedAgain guards against a call that returned when its ticket was due, was refused again and
// has to queue up behind all others.
func TestRefusedAgain(t *testing.T) {
	b := New()
	due := at(b.Issue(1, 10, terms, epoch))
	for i := range 5 {
		b.Issue(uint64(2+i), 10, terms, due)
	}
	assert.Assert(t, b.Present(1, due))
	b.Renew(1, terms.Earliest, due)
	assert.Assert(t, !b.Present(1, due.Add(terms.Earliest-1)))
	assert.Assert(t, b.Present(1, due.Add(terms.Earliest)))
	b.Renew(1, terms.Earliest, due)
	b.Renew(99, terms.Earliest, due) // dropped meanwhile
	assert.Equal(t, b.Len(), 6)
}

// TestBounds guards against tickets that are kept for ever or without a bound, and against one for
// calls that can't be identified.
func TestBounds(t *testing.T) {
	b := New()
	assert.Equal(t, b.Issue(0, 10, terms, epoch), terms.Earliest)
	assert.Equal(t, b.Issue(1, 10, Terms{Earliest: time.Second}, epoch), time.Second)
	assert.Equal(t, b.Len(), 0)
	for i := range uint64(2 * MaxTickets) {
		b.Issue(i+1, 0.01, terms, epoch)
	}
	assert.Equal(t, b.Len(), MaxTickets)
	assert.Assert(t, b.Present(1, at(8*time.Second)), "the first that is due must be kept")
	assert.Assert(t, !b.Present(MaxTickets+1, at(8*time.Second)))
	b.Issue(1, 10, terms, at(time.Minute))
	assert.Equal(t, b.Len(), 1)
	assert.Assert(t, !b.Present(2, at(time.Minute)))
}

// TestMixedTimes guards against a full Book that keeps expired tickets behind one that is valid for
// longer.
func TestMixedTimes(t *testing.T) {
	b := New()
	b.Issue(1, 0.01, Terms{Earliest: 12 * time.Second, Latest: 12 * time.Second, Rate: 1000}, epoch)
	soon := Terms{Earliest: time.Second, Latest: 2 * time.Second, Rate: 1000}
	for i := range uint64(MaxTickets - 1) {
		b.Issue(i+2, 0.01, soon, epoch)
	}
	assert.Equal(t, b.Len(), MaxTickets)
	b.Issue(5000, 0.01, terms, at(10*time.Second))
	assert.Equal(t, b.Len(), 2)
}

// TestRisingRate guards against calls that are all due at once, because each rise of the rate leaves
// a small remainder in slots that were full.
func TestRisingRate(t *testing.T) {
	b, rate, dueFirst := New(), 100.0, 0
	for i := range uint64(200) {
		if b.Issue(i+1, 10, Terms{Earliest: terms.Earliest, Latest: terms.Latest, Rate: rate}, epoch) < terms.Earliest+slotTime {
			dueFirst++
		}
		rate *= 1.005
	}
	assert.Assert(t, dueFirst <= 2*int(rate*slotTime.Seconds()/10), "%d calls are due in the first slot", dueFirst)
}

// TestReturned guards against a ticket that is lost although its call was not decided, or could not
// use what it was granted, and against one that is valid for long after that.
func TestReturned(t *testing.T) {
	b := New()
	due := at(b.Issue(1, 10, terms, epoch))
	assert.Assert(t, b.Present(1, due) && !b.Present(1, due))
	b.Return(1)
	assert.Assert(t, b.Present(1, due))
	b.Use(1, due)
	assert.Assert(t, b.Present(1, due.Add(servedGrace)))
	b.Return(1)
	assert.Assert(t, !b.Present(1, due.Add(servedGrace+1)))
}
