// Package vmlist is a client for the platform's list of live and draining VMs.
// A VM uses the list to find its first peers. The list is updated with a delay;
// what VMs report to each other is more recent.
package vmlist

import (
	"context"
	"net/netip"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"umberladder/internal/core/ident"
	"umberladder/internal/peer/httpc"
	"umberladder/internal/state/member"
)

const maxResponse = 4 << 20 // bytes

// VM is an entry of the list.
type VM struct {
	Name     ident.VM
	Address  netip.AddrPort // where other VMs reach it by UDP and TCP
	Domain   ident.FailureDomain
	Draining bool
}

// Client reads the list. It is safe for concurrent use.
type Client struct {
	dialer *httpc.Dialer
	addr   netip.AddrPort
}

// New returns a client for the list service at addr.
func New(dialer *httpc.Dialer, addr netip.AddrPort) *Client {
	return &Client{dialer: dialer, addr: addr}
}

// Members returns the VMs on the list that are not draining.
func (c *Client) Members(ctx context.Context) ([]member.Member, error) {
	list, err := c.List(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var out []member.Member
	for _, vm := range list {
		if !vm.Draining {
			out = append(out, member.Member{Name: vm.Name, Address: vm.Address, Domain: vm.Domain})
		}
	}
	return out, nil
}

// List returns all entries of the list.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("/vms")
	if err := c.dialer.Do(ctx, c.addr, req, resp, httpc.Options{MaxBody: maxResponse}); err != nil {
		return nil, trace.ConnectionProblem(err, "cannot read the VM list")
	}
	v, err := fastjson.ParseBytes(resp.Body())
	if err != nil || resp.StatusCode() != fasthttp.StatusOK {
		return nil, trace.ConnectionProblem(err, "the VM list service responded with status %d", resp.StatusCode())
	}
	return decode(v)
}

func decode(v *fastjson.Value) ([]VM, error) {
	var out []VM
	for _, o := range v.GetArray() {
		addr, err := netip.ParseAddrPort(string(o.GetStringBytes("address")))
		if err != nil {
			return nil, trace.BadParameter("invalid address %q in the VM list", o.GetStringBytes("address"))
		}
		out = append(out, VM{
			Name:     ident.VM(o.GetStringBytes("name")),
			Address:  addr,
			Domain:   ident.FailureDomain(o.GetStringBytes("failure_domain")),
			Draining: o.GetBool("leaving"),
		})
	}
	return out, nil
}
