package hold

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "umberladder/internal/test/check" // fixes the seed of rapid
)

func ExampleAccount_Hold() {
	p := NewPool(Limits{Memory: 1 << 20})
	a, b := p.Account(), p.Account()
	fmt.Println(a.Hold(Responses, 1<<20), p.Held(Responses))
	fmt.Println(b.Hold(Responses, SmallBytes), b.Hold(Responses, SmallBytes+1))
	a.Close()
	fmt.Println(b.Hold(Responses, SmallBytes+1), p.Held(Responses))
	// Output:
	// <nil> 1048576
	// <nil> hold: what the VM may hold for clients is used up
	// <nil> 65537
}

// TestBound checks that accounts never hold more than the pool besides small responses, that
// a small response is never refused, and that nothing is left once all are closed.
func TestBound(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		synctest.Test(t, func(*testing.T) { checkBound(r) })
	})
}

func checkBound(t *rapid.T) {
	const size = 1 << 20
	p := NewPool(Limits{Memory: size})
	accounts := make([]*Account, 8)
	small := make([]int, len(accounts))
	for i := range accounts {
		accounts[i] = open(t, p)
	}
	for range rapid.IntRange(1, 50).Draw(t, "steps") {
		i := rapid.IntRange(0, len(accounts)-1).Draw(t, "account")
		c := Class(rapid.IntRange(0, int(numClasses)-1).Draw(t, "class"))
		n := rapid.IntRange(0, size).Draw(t, "bytes")
		_ = accounts[i].SetState(State(rapid.IntRange(0, int(numStates)-1).Draw(t, "state")), 0)
		before := int(accounts[i].held[c])
		if err := accounts[i].Hold(c, n); err != nil {
			assert.Assert(t, errors.Is(err, ErrExhausted) || errors.Is(err, ErrReclaimed))
			assert.Assert(t, n > before && (c != Responses || n > SmallBytes || accounts[i].Reclaimed()))
			n = before
		}
		if c == Responses {
			small[i] = min(n, SmallBytes)
		}
		allowed := size
		for _, n := range small {
			allowed += n
		}
		total := p.Held(Connections) + p.Held(Requests) + p.Held(Responses)
		assert.Assert(t, total >= 0 && total <= allowed, "%d of %d", total, allowed)
	}
	for _, a := range accounts {
		a.Close()
		a.Close()
		_ = a.SetState(Idle, 0)
		_ = a.Hold(Connections, size)
	}
	assert.Equal(t, p.total()+p.coming(Connections, false), int64(0))
	assert.Equal(t, p.clients+p.closing, 0)
}

type testingT interface {
	assert.TestingT
	Helper()
}

// open returns the account of a client that lets go as soon as its account is reclaimed.
func open(t testingT, p *Pool) *Account {
	t.Helper()
	var a *Account
	a, err := p.Open(func(State) { a.Close() })
	assert.NilError(t, err)
	return a
}

// waiting returns an account that holds n bytes of a class and has been in a state for an age.
func waiting(t *testing.T, p *Pool, c Class, n int, s State, age time.Duration) *Account {
	t.Helper()
	a := open(t, p)
	assert.NilError(t, a.Hold(c, n))
	assert.NilError(t, a.SetState(s, 0))
	time.Sleep(age)
	return a
}

// checkReclaimed fails the test unless exactly those accounts that are named were reclaimed.
func checkReclaimed(t *testing.T, accounts map[string]*Account, want ...string) {
	t.Helper()
	var got, expected int
	for name, a := range accounts {
		if a.Reclaimed() {
			got++
		}
		for _, w := range want {
			if w == name {
				expected++
				assert.Check(t, a.Reclaimed(), "%s was not reclaimed", name)
			}
		}
	}
	assert.Equal(t, got, expected, "reclaimed")
}

const pool = 8 << 20

// TestReclaim guards against clients that hold memory without end, and against taking it from
// those whose calls are under way or who have only just begun to send.
func TestReclaim(t *testing.T) {
	for name, tc := range map[string]struct {
		accounts func(t *testing.T, p *Pool) map[string]*Account
		class    Class
		bytes    int
		err      error
		want     []string
	}{
		"the oldest idle connection goes first": {func(t *testing.T, p *Pool) map[string]*Account {
			return map[string]*Account{
				"old": waiting(t, p, Connections, 2<<20, Idle, time.Second), "young": waiting(t, p, Connections, 2<<20, Idle, time.Second),
				"body": waiting(t, p, Requests, 3<<20, Receiving, time.Second),
			}
		}, Connections, 1 << 20, nil, []string{"old"}},
		"idle connections make room for a request": {func(t *testing.T, p *Pool) map[string]*Account {
			return map[string]*Account{
				"idle": waiting(t, p, Connections, 4<<20, Idle, time.Second), "call": waiting(t, p, Responses, 3<<20, Busy, time.Second),
			}
		}, Requests, 2 << 20, nil, []string{"idle"}},
		"an unfinished body makes room for another": {func(t *testing.T, p *Pool) map[string]*Account {
			return map[string]*Account{
				"old": waiting(t, p, Requests, 2<<20, Receiving, time.Second), "young": waiting(t, p, Requests, 2<<20, Receiving, 10*time.Millisecond),
				"idle": waiting(t, p, Connections, 1<<20, Idle, time.Second), "call": waiting(t, p, Responses, 1<<20, Busy, time.Second),
			}
		}, Requests, 1 << 20, nil, []string{"old"}},
		"a large unfinished body goes before an older small one": {func(t *testing.T, p *Pool) map[string]*Account {
			return map[string]*Account{
				"small": waiting(t, p, Requests, 4<<10, Receiving, time.Second), "large": waiting(t, p, Requests, 4<<20-4<<10, Receiving, time.Second),
			}
		}, Requests, 1 << 20, nil, []string{"large"}},
		"a client that does not read makes room for a response": {func(t *testing.T, p *Pool) map[string]*Account {
			return map[string]*Account{
				"stalled": waiting(t, p, Responses, 4<<20, Sending, 2*time.Second), "reads": waiting(t, p, Responses, 3<<20, Sending, 10*time.Millisecond),
			}
		}, Responses, 3 << 20, nil, []string{"stalled"}},
		"calls under way are not reclaimed": {func(t *testing.T, p *Pool) map[string]*Account {
			return map[string]*Account{"call": waiting(t, p, Requests, 4<<20, Busy, time.Second)}
		}, Requests, 1 << 20, ErrExhausted, nil},
		"a small request has room beside large ones": {func(t *testing.T, p *Pool) map[string]*Account {
			return map[string]*Account{"call": waiting(t, p, Requests, 4<<20, Busy, time.Second)}
		}, Requests, SmallBytes, nil, nil},
		"a small response is never refused": {func(t *testing.T, p *Pool) map[string]*Account {
			return map[string]*Account{"call": waiting(t, p, Responses, 8<<20, Busy, time.Second)}
		}, Responses, SmallBytes, nil, nil},
		"the largest request": {func(*testing.T, *Pool) map[string]*Account { return nil }, Requests, pool / 2, nil, nil},
		"a larger one":        {func(*testing.T, *Pool) map[string]*Account { return nil }, Requests, pool/2 + 1, ErrExhausted, nil},
		"a connection does not take what calls hold": {func(t *testing.T, p *Pool) map[string]*Account {
			return map[string]*Account{"call": waiting(t, p, Connections, 4<<20, Busy, time.Second)}
		}, Connections, 1, ErrExhausted, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := NewPool(Limits{Memory: pool})
				accounts := tc.accounts(t, p)
				err := open(t, p).Hold(tc.class, tc.bytes)
				assert.Assert(t, errors.Is(err, tc.err), "%v", err)
				checkReclaimed(t, accounts, tc.want...)
			})
		})
	}
}

// TestHeldUntilGivenBack guards against memory that is counted as free while a client that was
// reclaimed still holds it.
func TestHeldUntilGivenBack(t *testing.T) {
	for name, delay := range map[string]time.Duration{"in time": reclaimWait / 2, "too late": 2 * reclaimWait} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := NewPool(Limits{Memory: pool})
				var g errgroup.Group
				var slow *Account
				slow, err := p.Open(func(s State) {
					assert.Equal(t, s, Receiving)
					g.Go(func() error {
						time.Sleep(delay)
						slow.Close()
						return nil
					})
				})
				assert.NilError(t, err)
				assert.NilError(t, slow.SetState(Receiving, 0))
				assert.NilError(t, slow.Hold(Requests, 4<<20))
				err = open(t, p).Hold(Requests, 4<<20)
				assert.Equal(t, errors.Is(err, ErrExhausted), delay > reclaimWait, "%v", err)
				assert.Assert(t, p.Held(Requests) <= pool/2)
				assert.Assert(t, errors.Is(slow.SetState(Busy, 0), ErrReclaimed))
				assert.NilError(t, g.Wait())
			})
		})
	}
}

// TestLingering guards against a request that waits for what a refused client's connection takes,
// rather than for memory of others.
func TestLingering(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(Limits{Memory: pool})
		for range 4 {
			var a *Account
			a, err := p.Open(func(State) { _ = a.Hold(Requests, 0) }) // stays connected
			assert.NilError(t, err)
			assert.NilError(t, a.Hold(Connections, 12<<10))
			assert.NilError(t, a.SetState(Receiving, 0))
			assert.NilError(t, a.Hold(Requests, 1<<20))
			time.Sleep(time.Second)
		}
		start := time.Now()
		a := open(t, p)
		for n := range 4 {
			assert.NilError(t, a.Hold(Requests, n*1<<20+1<<19))
		}
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}

// TestReclaimedWhileWaiting guards against a client that keeps what it holds, although its account was
// reclaimed, because it waits for more itself.
func TestReclaimedWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(Limits{Memory: pool})
		call := waiting(t, p, Requests, 1<<20, Busy, 0)
		first, err := p.Open(func(State) {}) // lets go in its own goroutine only
		assert.NilError(t, err)
		assert.NilError(t, first.Hold(Requests, 2<<20))
		assert.NilError(t, first.SetState(Receiving, 0))
		time.Sleep(time.Second)
		var g errgroup.Group
		g.Go(func() error {
			defer first.Close()
			return first.Hold(Requests, 4<<20)
		})
		synctest.Wait()
		start := time.Now()
		assert.NilError(t, open(t, p).Hold(Requests, 2<<20))
		assert.Equal(t, time.Since(start), time.Duration(0))
		assert.Assert(t, errors.Is(g.Wait(), ErrReclaimed))
		call.Close()
	})
}

// TestWaitForCalls guards against refusing a large request although a call is about to end.
func TestWaitForCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(Limits{Memory: pool})
		call := waiting(t, p, Requests, 3<<20, Busy, 0)
		a := waiting(t, p, Requests, 1<<20, Receiving, 0)
		var g errgroup.Group
		g.Go(func() error {
			time.Sleep(reclaimWait / 2)
			call.Close()
			return nil
		})
		assert.NilError(t, a.Hold(Requests, 2<<20))
		assert.NilError(t, g.Wait())
	})
}

// TestClientDescriptors guards against clients that leave no descriptors to servers, and against
// closing connections on which calls are under way.
func TestClientDescriptors(t *testing.T) {
	for _, limit := range []int{256, 1024, 4100} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := NewPool(Limits{Memory: pool, Descriptors: func() int { return limit }})
				busy := limit / 4
				for range busy {
					open(t, p)
					assert.NilError(t, p.OpenOther())
				}
				var idle []*Account
				for range limit {
					idle = append(idle, open(t, p))
					assert.NilError(t, idle[len(idle)-1].SetState(Idle, 0))
				}
				used, _ := p.Descriptors()
				assert.Assert(t, used < limit-clientReserve, "%d of %d", used, limit)
				assert.Assert(t, idle[0].Reclaimed() && !idle[limit-1].Reclaimed())
				for p.OpenOther() == nil {
				}
				used, _ = p.Descriptors()
				assert.Assert(t, used <= limit-serverReserve && used > limit/2, "%d of %d", used, limit)
				_, err := p.Open(func(State) {})
				assert.Assert(t, errors.Is(err, ErrExhausted))
				assert.Assert(t, p.Refusing(time.Now()))
			})
		})
	}
}

// TestUnfinishedConnections guards against clients that take the memory of all connections with requests
// that they do not finish. Their connections are closed without a response, which would take time.
func TestUnfinishedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(Limits{Memory: pool})
		var states []State
		for range pool / 2 / (64 << 10) {
			var a *Account
			a, err := p.Open(func(s State) {
				states = append(states, s)
				a.Close()
			})
			assert.NilError(t, err)
			assert.NilError(t, a.Hold(Connections, 64<<10))
			assert.NilError(t, a.SetState(Receiving, 0))
		}
		assert.Assert(t, errors.Is(open(t, p).Hold(Connections, 64<<10), ErrExhausted))
		time.Sleep(stallTime)
		start := time.Now()
		assert.NilError(t, open(t, p).Hold(Connections, 64<<10))
		assert.Equal(t, time.Since(start), time.Duration(0))
		assert.DeepEqual(t, states, []State{Idle})
	})
}

// TestUnfinishedRequests guards against clients that use up the descriptors with requests that they
// do not finish.
func TestUnfinishedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(Limits{Memory: pool, Descriptors: func() int { return 256 }})
		var list []*Account
		for {
			a, err := p.Open(func(State) {})
			if err != nil {
				break
			}
			list = append(list, a)
			assert.NilError(t, a.SetState(Receiving, 0))
		}
		time.Sleep(stallTime)
		open(t, p)
		assert.Assert(t, list[0].Reclaimed() && !list[1].Reclaimed())
	})
}
