// Package vmlist reads the platform's list of live and leaving VMs, which
// lags. It is where a VM finds its first peers; what the VMs hear from each
// other is newer.
package vmlist

import (
	"context"
	"net/netip"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/link"
	"umberladder/internal/state/member"
)

const maxList = 4 << 20

// VM is one line of the list.
type VM struct {
	Name    ident.VM
	Address netip.AddrPort // for other VMs, UDP and TCP
	Domain  ident.Domain
	Leaving bool
}

// Client reads the list. It is safe for use by several goroutines.
type Client struct {
	dialer *link.Dialer
	addr   netip.AddrPort
}

// New makes a client for the list at addr.
func New(dialer *link.Dialer, addr netip.AddrPort) *Client {
	return &Client{dialer: dialer, addr: addr}
}

// Members returns the VMs on the list that are not leaving.
func (c *Client) Members(ctx context.Context) ([]member.Member, error) {
	list, err := c.List(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var out []member.Member
	for _, vm := range list {
		if !vm.Leaving {
			out = append(out, member.Member{Name: vm.Name, Address: vm.Address, Domain: vm.Domain})
		}
	}
	return out, nil
}

// List returns the list as the platform shows it now.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("/vms")
	if err := c.dialer.Do(ctx, c.addr, req, resp, link.Options{Body: maxList}); err != nil {
		return nil, trace.ConnectionProblem(err, "the VM list can't be read")
	}
	v, err := fastjson.ParseBytes(resp.Body())
	if err != nil || resp.StatusCode() != fasthttp.StatusOK {
		return nil, trace.ConnectionProblem(err, "the VM list answered with status %d", resp.StatusCode())
	}
	return decode(v)
}

func decode(v *fastjson.Value) ([]VM, error) {
	var out []VM
	for _, o := range v.GetArray() {
		addr, err := netip.ParseAddrPort(string(o.GetStringBytes("address")))
		if err != nil {
			return nil, trace.BadParameter("the VM list holds the address %q", o.GetStringBytes("address"))
		}
		out = append(out, VM{
			Name:    ident.VM(o.GetStringBytes("name")),
			Address: addr,
			Domain:  ident.Domain(o.GetStringBytes("failure_domain")),
			Leaving: o.GetBool("leaving"),
		})
	}
	return out, nil
}
