// Package roster is a stand-in for the platform's list of VMs, which shows
// live and leaving VMs some time after the fact.
package roster

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

// VM is one line of the list.
type VM struct {
	Name    string
	Address string // for the other VMs
	Domain  string
	Leaving bool
}

type change struct {
	at   time.Time
	vm   VM
	gone bool
}

// Roster holds the changes and shows them after the lag.
type Roster struct {
	lag time.Duration

	mu      sync.Mutex
	changes []change
	vms     []VM
}

// New makes an empty list that does not lag.
func New() *Roster { return &Roster{} }

// Lagging applies what was set so far at once, and what comes later after lag.
func (r *Roster) Lagging(lag time.Duration) *Roster {
	r.List()
	r.lag = lag
	return r
}

// Set adds or changes a VM.
func (r *Roster) Set(vm VM) { r.add(change{at: time.Now(), vm: vm}) }

// Remove takes a VM off the list.
func (r *Roster) Remove(name string) {
	r.add(change{at: time.Now(), vm: VM{Name: name}, gone: true})
}

func (r *Roster) add(c change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = append(r.changes, c)
}

// List returns the VMs as they were a lag ago.
func (r *Roster) List() []VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.changes) > 0 && time.Since(r.changes[0].at) >= r.lag {
		r.apply(r.changes[0])
		r.changes = r.changes[1:]
	}
	return slices.Clone(r.vms)
}

func (r *Roster) apply(c change) {
	r.vms = slices.DeleteFunc(r.vms, func(v VM) bool { return v.Name == c.vm.Name })
	if !c.gone {
		r.vms = append(r.vms, c.vm)
	}
}

// Serve answers on ln until ctx ends: GET /vms lists, PUT /vms/<name> with a
// JSON body sets, DELETE /vms/<name> removes.
func (r *Roster) Serve(ctx context.Context, ln net.Listener) error {
	return httpd.Serve(ctx, ln, "vm-list", r.handle)
}

func (r *Roster) handle(ctx *fasthttp.RequestCtx) {
	name := strings.TrimPrefix(string(ctx.Path()), "/vms/")
	switch {
	case ctx.IsPut():
		v, err := fastjson.ParseBytes(ctx.PostBody())
		if err != nil {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		r.Set(VM{
			Name:    name,
			Address: string(v.GetStringBytes("address")),
			Domain:  string(v.GetStringBytes("failure_domain")),
			Leaving: v.GetBool("leaving"),
		})
	case ctx.IsDelete():
		r.Remove(name)
	default:
		ctx.SetBody(encode(r.List()))
	}
}

func encode(vms []VM) []byte {
	var a fastjson.Arena
	list := a.NewArray()
	for i, vm := range vms {
		o := a.NewObject()
		o.Set("name", a.NewString(vm.Name))
		o.Set("address", a.NewString(vm.Address))
		o.Set("failure_domain", a.NewString(vm.Domain))
		if vm.Leaving {
			o.Set("leaving", a.NewTrue())
		}
		list.SetArrayItem(i, o)
	}
	return list.MarshalTo(nil)
}
