package stream

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
	"umberladder/internal/state/origin"
	"umberladder/internal/state/routes"
)

// originRetryAfter is the retry delay of a call whose stream's origin another VM may know.
const originRetryAfter = 200 * time.Millisecond

// streamLifetime returns how long ago the stream that the call takes up may have begun, over the
// attempts of its client. Earlier settings may have allowed it a longer timeout. If this VM does not
// know them, the client's own timeout still shows that it had more time.
func (f *forwarder) streamLifetime() time.Duration {
	timeout := max(f.Route.Timeout, f.Call.ClientTimeout)
	return max(f.Route.StreamLifetime(timeout), f.Settings.Past(f.Route).Lifetime)
}

// streamService returns the service of a stream that is taken up, or none if only a record can name
// it, because the route has sent calls to other services since the stream may have begun.
func (f *forwarder) streamService() ident.Service {
	if f.Settings.Past(f.Route).Moved {
		return ""
	}
	return f.Service.Name
}

// takesUp reports whether the call takes up a stream that an earlier attempt of its client began.
func (f *forwarder) takesUp() bool { return f.Call.Resumes != "" || f.Call.LastEventID != "" }

// streamID identifies the stream that the call begins or takes up.
func (f *forwarder) streamID() origin.Stream {
	if f.takesUp() {
		return origin.StreamOf(f.Call.Resumes)
	}
	return origin.StreamOf(f.Call.ID)
}

// findOrigin binds a call that takes up a stream to the service and the version that began it.
func (f *forwarder) findOrigin(ctx context.Context) *refuse.Refusal {
	if !f.takesUp() {
		return nil
	}
	start := time.Now()
	o, err := f.Origins.Find(ctx, f.streamID(), f.streamService(), f.streamLifetime())
	switch {
	case errors.Is(err, origin.ErrUnanswered):
		return refuse.New(refuse.VersionUnknown, "which version began the stream of attempt %.40q is not known to this VM, and others did not respond", f.Call.Resumes).
			WithRetryAfter(originRetryAfter)
	case err != nil:
		return refuse.New(refuse.VersionUnknown, "no VM knows which version began the stream of attempt %.40q", f.Call.Resumes)
	}
	f.LogInfo("stream taken up", zap.String("version", string(o.Version)), zap.String("source", string(o.Source)),
		zap.String("record-from", string(o.VM)), zap.Duration("waited", time.Since(start)))
	f.version, f.Result.Origin = o.Version, o.Source
	return f.bindService(o)
}

// bindService makes the service that began the stream that of the call. The route may share its
// calls between several.
func (f *forwarder) bindService(o origin.Origin) *refuse.Refusal {
	if o.Service == f.Service.Name {
		return nil
	}
	leadsThere := slices.ContainsFunc(f.Route.Shares, func(s routes.Share) bool { return s.Service == o.Service })
	if svc := f.Settings.Load().Service(o.Service); leadsThere && svc != nil {
		f.Service, f.Result.Service = svc, o.Service
		return nil
	}
	return refuse.New(refuse.VersionGone, "route %s does not lead to service %s any more, which began the stream", f.Route.Name, o.Service)
}

// recordOrigin records what began a stream that the client may take up, before it can do so.
func (f *forwarder) recordOrigin() {
	if f.Route.Resumable && f.version != "" {
		f.Origins.Began(origin.Record{Stream: f.streamID(), Service: f.Service.Name, Version: f.version, TTL: f.streamLifetime()}, f.Settings.Past(f.Route).Moved)
	}
}
