package pick

import (
	"slices"

	"umberladder/internal/core/ident"
	"umberladder/internal/state/srvtab"
)

// Reserved is the engines of a service that are left to streams that have begun and wait for
// capacity, by the versions of the software that the streams are bound to. The empty version
// stands for streams that may run at engines of any version. The value is the failure domains that
// the streams may run in; empty: all.
type Reserved map[ident.Version][]ident.FailureDomain

// Add adds the engines that a stream may run at, and returns the result.
func (r Reserved) Add(stream *Request) Reserved {
	if r == nil {
		r = make(Reserved)
	}
	domains, ok := r[stream.Version]
	switch {
	case ok && len(domains) == 0:
	case len(stream.Domains) == 0:
		r[stream.Version] = nil
	default:
		r[stream.Version] = append(domains, stream.Domains...)
	}
	return r
}

// CoversAny reports whether all engines that a request may run at are left to streams that may run
// at any version.
func (r Reserved) CoversAny(request *Request) bool { return r.covers("", request.Domains) }

// CoversOwn reports whether all engines that a stream may run at are left to streams that are bound
// to the same version.
func (r Reserved) CoversOwn(stream *Request) bool { return r.covers(stream.Version, stream.Domains) }

// covers reports whether the streams of a version may run in all of some failure domains; none
// stands for all that exist.
func (r Reserved) covers(v ident.Version, domains []ident.FailureDomain) bool {
	reserved, ok := r[v]
	if !ok || len(reserved) == 0 {
		return ok
	}
	return len(domains) > 0 && !slices.ContainsFunc(domains, func(d ident.FailureDomain) bool { return !slices.Contains(reserved, d) })
}

// hasPool reports whether the engines of a pool are left to the streams of a version.
func (r Reserved) hasPool(v ident.Version, p *srvtab.Pool) bool {
	domains, ok := r[v]
	return ok && (len(domains) == 0 || slices.Contains(domains, p.Domain))
}
