package homes

import (
	"fmt"
	"testing"
	"time"

	"umberladder/internal/core/ident"
	"umberladder/internal/policy/health"
	"umberladder/internal/policy/rates"
	"umberladder/internal/route/pick"
	"umberladder/internal/route/seats"
	"umberladder/internal/state/backs"
)

// BenchmarkTake places runs on different numbers of engines that 62 VMs use.
func BenchmarkTake(b *testing.B) {
	for _, engines := range []int{12, 44, 357} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			table, book := backs.NewTable(func() {}), seats.New()
			list := make([]backs.Entry, engines)
			for i := range list {
				list[i] = backs.Entry{ID: ident.Server(fmt.Sprint("e", i)), Service: "s", Domain: "a", Slots: 24}
			}
			table.Replace(list, time.Time{}, time.Now())
			for vm := range 62 {
				load := map[ident.Server]seats.Load{}
				for i := range 4 {
					load[list[(vm*4+i)%engines].ID] = seats.Load{Seats: 1, Tokens: 3000}
				}
				book.Hear(ident.VM(fmt.Sprint(vm)), 1, 1, 0, load, time.Now().Add(time.Hour))
			}
			c := NewHome(pick.NewChooser(table, book, health.New(), rates.New(nil, nil)))
			w := pick.Want{Service: "s", Need: 3300, Read: 3000, Memory: 1 << 20, From: "a", Due: time.Second, Wait: time.Second}
			for n := range uint64(b.N) {
				c.Take(Ask{VM: "vm", Number: n, Want: w}, func(Answer) {}, time.Now())
				if n%100 == 0 {
					c.serve(time.Now().Add(2 * time.Second)) // drops the answered requests
					c.grants = nil
				}
			}
		})
	}
}
