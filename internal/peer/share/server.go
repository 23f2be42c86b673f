package share

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"umberladder/internal/peer/socket"
	"umberladder/internal/peer/wire"
	"umberladder/internal/state/follow"
	"umberladder/internal/state/routes"
)

const (
	pathSettings  = "/settings"
	pathServers   = "/servers"
	argMinVersion = "least" // lowest version that the requester accepts
	headerVersion = "Umberladder-Version"
	headerAge     = "Umberladder-Age-Ns"
	headerFrom    = "Umberladder-From"   // address of the requester's own Server
	headerOthers  = "Umberladder-Others" // addresses of VMs to fetch from instead
	// readTimeout limits the time to read a request.
	readTimeout = time.Second
	// writeTimeout limits the time to send a response. A long list over a slow link takes a few
	// seconds.
	writeTimeout = time.Minute
	// maxConns is the maximum number of connections besides tunnels, and maxRequestBody that of the
	// bytes of a request's body. Requests have none.
	maxConns       = 1024
	maxRequestBody = 1 << 10
)

// Settings is one version of the settings, as written by the operators.
type Settings struct {
	Compressed []byte // compressed by routes.Document
	Version    uint64
	Age        time.Duration // time since it was last known to be the newest version
}

// Source provides the data that a VM serves to other VMs.
type Source interface {
	// Settings returns the settings in force, or false if there are none.
	Settings() (Settings, bool)
	// HasServers reports whether Servers would return a list.
	HasServers() bool
	// Servers returns the complete server list, or false if the VM is not sure that its
	// list is complete.
	Servers() (follow.Update, bool)
}

// Server serves a VM's settings and server list to other VMs.
type Server struct {
	src        Source
	log        *zap.Logger
	quota      *quota
	settings   recipients
	servers    recipients
	serverList cachedList
	handlers   map[string]fasthttp.RequestHandler // by path, besides those of this package
}

// cachedList is the latest encoded and compressed server list.
type cachedList struct {
	mu      sync.Mutex
	at      time.Time
	ttl     time.Duration
	age     time.Duration // of the list at that time
	version uint64        // of the settings in force then, as the list says what they replaced
	body    []byte
}

const (
	// cacheTime is how long an encoded server list is reused, since VMs that start at the
	// same time request the same one. A VM that was sent it requests the changes since.
	cacheTime = 500 * time.Millisecond
	// graceCacheTime is the same for a list with entries that expired in a store outage,
	// whose remaining time the list states.
	graceCacheTime = 50 * time.Millisecond
)

// get returns the encoded list and its age. It creates the list if the last one is too old, or other
// settings have come into force since, for one request at a time, since that takes memory several
// times the size of the list. It returns false if src has no complete list.
func (c *cachedList) get(src Source, now time.Time) (body []byte, age time.Duration, ok bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	settings, _ := src.Settings()
	if c.body != nil && now.Sub(c.at) < c.ttl && c.version == settings.Version {
		return c.body, c.age + max(now.Sub(c.at), 0), true, nil
	}
	update, ok := src.Servers()
	if !ok {
		return nil, 0, false, nil
	}
	body, err = routes.NewDocument(wire.EncodeServerUpdate(&update)).Compressed()
	if err != nil {
		return nil, 0, true, err
	}
	c.at, c.ttl, c.age, c.version, c.body = now, cacheTime, update.Age, settings.Version, body
	if slices.ContainsFunc(update.Changes, func(ch follow.Change) bool { return ch.Grace > 0 }) {
		c.ttl = graceCacheTime
	}
	return body, update.Age, true, nil
}

// size returns the size of the last list, or zero if there was none.
func (c *cachedList) size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.body)
}

// NewServer returns a server for src. The VM's link carries linkRate bits per second.
func NewServer(src Source, linkRate float64, log *zap.Logger) *Server {
	return &Server{src: src, log: log, quota: newQuota(linkRate, time.Now()), handlers: make(map[string]fasthttp.RequestHandler)}
}

// Handle makes h handle the requests for a path. It must be called before Serve.
func (s *Server) Handle(path string, h fasthttp.RequestHandler) { s.handlers[path] = h }

// Serve starts to serve requests on ln in group. It stops and closes ln when ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener, group *errgroup.Group) {
	srv := &fasthttp.Server{
		Handler: s.handle, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, NoDefaultDate: true, NoDefaultServerHeader: true,
		DisableKeepalive: true, Logger: debugLogger{s.log}, Concurrency: maxConns, MaxRequestBodySize: maxRequestBody,
	}
	ln = socket.New(ln, func() {}, s.log)
	context.AfterFunc(ctx, func() { _ = ln.Close() })
	group.Go(func() error {
		if err := srv.Serve(ln); err != nil && ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
			s.log.Error("share server stopped", zap.Error(err))
		}
		return nil
	})
}

// debugLogger logs the HTTP library's messages, which report broken connections, at
// debug level.
type debugLogger struct{ log *zap.Logger }

// Printf implements fasthttp.Logger.
func (l debugLogger) Printf(format string, _ ...any) { l.log.Debug(format) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case pathSettings:
		s.sendSettings(ctx)
	case pathServers:
		s.sendServers(ctx)
	default:
		if h := s.handlers[string(ctx.Path())]; h != nil {
			h(ctx)
			return
		}
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Server) sendSettings(ctx *fasthttp.RequestCtx) {
	minVersion, err := strconv.ParseUint(string(ctx.QueryArgs().Peek(argMinVersion)), 10, 64)
	if err != nil {
		ctx.Error(argMinVersion+": want a version of the settings", fasthttp.StatusBadRequest)
		return
	}
	settings, ok := s.src.Settings()
	if !ok || settings.Version < minVersion {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if !s.admit(ctx, &s.settings, settings.Version, len(settings.Compressed)) {
		return
	}
	ctx.Response.Header.Set(headerVersion, strconv.FormatUint(settings.Version, 10))
	ctx.Response.Header.Set(headerAge, strconv.FormatInt(int64(settings.Age), 10))
	ctx.Response.SetBodyRaw(settings.Compressed)
}

func (s *Server) sendServers(ctx *fasthttp.RequestCtx) {
	if !s.src.HasServers() {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	// The version is always 0: any earlier recipient can serve the list, because a VM
	// that was sent it keeps it up to date with later changes. The quota is charged the size
	// of the last list, so that no list is created for a request that must wait.
	if !s.admit(ctx, &s.servers, 0, s.serverList.size()) {
		return
	}
	body, age, ok, err := s.serverList.get(s.src, time.Now())
	if err != nil {
		s.log.Error("server list not compressed", zap.Error(err))
	}
	if err != nil || !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.Response.Header.Set(headerAge, strconv.FormatInt(int64(age), 10))
	ctx.Response.SetBodyRaw(body)
}

// admit reports whether the quota allows a body of the given size to be sent now, and
// if so, records the requester as a recipient of the version. Otherwise it responds with
// the other recipients, from which the requester can fetch it.
func (s *Server) admit(ctx *fasthttp.RequestCtx, r *recipients, version uint64, size int) bool {
	from, err := netip.ParseAddrPort(string(ctx.Request.Header.Peek(headerFrom)))
	if err != nil {
		ctx.Error(headerFrom+": want the address at which the VM shares", fasthttp.StatusBadRequest)
		return false
	}
	if s.quota.tryAcquire(size, time.Now()) {
		r.add(version, from)
		return true
	}
	var list []string
	for _, a := range r.get(version) {
		if a != from { // the requester itself, restarted since it was sent the version
			list = append(list, a.String())
		}
	}
	ctx.Response.Header.Set(headerOthers, strings.Join(list, ","))
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	return false
}
