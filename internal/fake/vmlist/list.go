// Package vmlist implements a fake of the platform's VM list, which shows live
// and draining VMs with a delay.
package vmlist

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"umberladder/internal/fake/httpd"
)

// VM is an entry of the list.
type VM struct {
	Name          string
	Address       string // address for calls from other VMs
	FailureDomain string
	Draining      bool
}

type change struct {
	at      time.Time
	vm      VM
	removed bool
}

// List is a VM list that applies each change after a lag.
type List struct {
	lag time.Duration

	mu      sync.Mutex
	changes []change
	vms     []VM
}

// New returns an empty list without lag.
func New() *List { return &List{} }

// WithLag sets the lag of later changes and returns the list. It first applies
// the earlier changes that are due, which without a lag are all of them.
func (l *List) WithLag(lag time.Duration) *List {
	l.VMs()
	l.lag = lag
	return l
}

// Set adds or changes a VM.
func (l *List) Set(vm VM) { l.add(change{at: time.Now(), vm: vm}) }

// Remove deletes a VM from the list.
func (l *List) Remove(name string) {
	l.add(change{at: time.Now(), vm: VM{Name: name}, removed: true})
}

func (l *List) add(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, c)
}

// VMs returns the list as of l.lag ago.
func (l *List) VMs() []VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.changes) > 0 && time.Since(l.changes[0].at) >= l.lag {
		l.apply(l.changes[0])
		l.changes = l.changes[1:]
	}
	return slices.Clone(l.vms)
}

func (l *List) apply(c change) {
	l.vms = slices.DeleteFunc(l.vms, func(v VM) bool { return v.Name == c.vm.Name })
	if !c.removed {
		l.vms = append(l.vms, c.vm)
	}
}

// Serve accepts connections on ln until ctx is done. GET /vms lists the VMs, PUT
// /vms/<name> with a JSON body adds or changes one, DELETE /vms/<name> removes it.
func (l *List) Serve(ctx context.Context, ln net.Listener) error {
	return httpd.Serve(ctx, ln, "vm-list", l.handle)
}

func (l *List) handle(ctx *fasthttp.RequestCtx) {
	name := strings.TrimPrefix(string(ctx.Path()), "/vms/")
	switch {
	case ctx.IsPut():
		v, err := fastjson.ParseBytes(ctx.PostBody())
		if err != nil {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		l.Set(VM{
			Name:          name,
			Address:       string(v.GetStringBytes("address")),
			FailureDomain: string(v.GetStringBytes("failure_domain")),
			Draining:      v.GetBool("leaving"),
		})
	case ctx.IsDelete():
		l.Remove(name)
	default:
		ctx.SetBody(encode(l.VMs()))
	}
}

func encode(vms []VM) []byte {
	var a fastjson.Arena
	list := a.NewArray()
	for i, vm := range vms {
		o := a.NewObject()
		o.Set("name", a.NewString(vm.Name))
		o.Set("address", a.NewString(vm.Address))
		o.Set("failure_domain", a.NewString(vm.FailureDomain))
		if vm.Draining {
			o.Set("leaving", a.NewTrue())
		}
		list.SetArrayItem(i, o)
	}
	return list.MarshalTo(nil)
}
