package share

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"umberladder/internal/peer/wire"
	"umberladder/internal/state/follow"
	"umberladder/internal/state/routes"
)

const (
	pathSettings  = "/settings"
	pathServers   = "/servers"
	argLeast      = "least" // version that the asking VM needs at least
	headerVersion = "Umberladder-Version"
	headerAge     = "Umberladder-Age-Ns"
	headerFrom    = "Umberladder-From"   // address at which the asking VM shares
	headerOthers  = "Umberladder-Others" // addresses of VMs to ask instead
	// readLimit bounds the reading of a request.
	readLimit = time.Second
)

// Settings is a version of the settings as the operators wrote it.
type Settings struct {
	Packed  []byte // as compressed by routes.Document
	Version uint64
	Age     time.Duration // since it was known to be the newest
}

// Source is what a VM has to share.
type Source interface {
	// Settings returns the settings in force; false: there are none.
	Settings() (Settings, bool)
	// Servers returns all servers known; false: they are not known for sure.
	Servers() (follow.News, bool)
}

// Server serves what a VM has to share.
type Server struct {
	src      Source
	log      *zap.Logger
	quota    *quota
	settings holders
	servers  holders
	list     packed
}

// packed is a list of servers as it is sent.
type packed struct {
	mu   sync.Mutex
	rev  follow.Revision
	at   time.Time
	body []byte
}

// packTime is how long a list is sent as it is: VMs that start together ask for the
// same one.
const packTime = 100 * time.Millisecond

// of returns a list as it is sent.
func (p *packed) of(n *follow.News, now time.Time) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rev == n.Rev && now.Sub(p.at) < packTime {
		return p.body, nil
	}
	body, err := routes.NewDocument(wire.EncodeNews(n)).Packed()
	if err == nil {
		p.rev, p.at, p.body = n.Rev, now, body
	}
	return body, err
}

// NewServer makes a server of a VM whose link carries so many bits a second.
func NewServer(src Source, link float64, log *zap.Logger) *Server {
	return &Server{src: src, log: log, quota: newQuota(link, time.Now())}
}

// Serve answers on the listener until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener, group *errgroup.Group) {
	srv := &fasthttp.Server{
		Handler: s.handle, ReadTimeout: readLimit, NoDefaultDate: true, NoDefaultServerHeader: true,
		DisableKeepalive: true, Logger: quiet{s.log},
	}
	context.AfterFunc(ctx, func() { _ = ln.Close() })
	group.Go(func() error {
		if err := srv.Serve(ln); err != nil && ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
			s.log.Error("sharing ended", zap.Error(err))
		}
		return nil
	})
}

// quiet takes the HTTP library's lines, which tell of broken connections.
type quiet struct{ log *zap.Logger }

// Printf implements fasthttp.Logger.
func (q quiet) Printf(format string, _ ...any) { q.log.Debug(format) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case pathSettings:
		s.sendSettings(ctx)
	case pathServers:
		s.sendServers(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Server) sendSettings(ctx *fasthttp.RequestCtx) {
	least, err := strconv.ParseUint(string(ctx.QueryArgs().Peek(argLeast)), 10, 64)
	if err != nil {
		ctx.Error(argLeast+": want a version of the settings", fasthttp.StatusBadRequest)
		return
	}
	set, ok := s.src.Settings()
	if !ok || set.Version < least {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if !s.admit(ctx, &s.settings, set.Version, len(set.Packed)) {
		return
	}
	ctx.Response.Header.Set(headerVersion, strconv.FormatUint(set.Version, 10))
	ctx.Response.Header.Set(headerAge, strconv.FormatInt(int64(set.Age), 10))
	ctx.SetBody(set.Packed)
}

func (s *Server) sendServers(ctx *fasthttp.RequestCtx) {
	n, ok := s.src.Servers()
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	body, err := s.list.of(&n, time.Now())
	if err != nil {
		s.log.Error("list of servers not packed", zap.Error(err))
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	// A VM that was sent the list follows the changes since, so that any is of use.
	if s.admit(ctx, &s.servers, 0, len(body)) {
		ctx.Response.Header.Set(headerAge, strconv.FormatInt(int64(n.Age), 10))
		ctx.SetBody(body)
	}
}

// admit reports whether a version of something may be sent now, within the quota;
// if not, it answers with VMs to ask instead.
func (s *Server) admit(ctx *fasthttp.RequestCtx, h *holders, version uint64, size int) bool {
	from, err := netip.ParseAddrPort(string(ctx.Request.Header.Peek(headerFrom)))
	if err != nil {
		ctx.Error(headerFrom+": want the address at which the VM shares", fasthttp.StatusBadRequest)
		return false
	}
	if s.quota.take(size, time.Now()) {
		h.add(version, from)
		return true
	}
	var list []string
	for _, a := range h.of(version) {
		if a != from { // it has started anew since
			list = append(list, a.String())
		}
	}
	ctx.Response.Header.Set(headerOthers, strings.Join(list, ","))
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	return false
}
