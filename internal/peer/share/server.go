package share

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"umberladder/internal/peer/wire"
	"umberladder/internal/state/follow"
)

const (
	pathSettings  = "/settings"
	pathServers   = "/servers"
	headerVersion = "Umberladder-Version"
	headerAge     = "Umberladder-Age-Ns"
	// maxShared is the largest document that is shared, in bytes as compressed: a
	// link of 10 Mbit/s carries it to 60 VMs in 1.5 s. Larger ones are read in the
	// store.
	maxShared = 32 << 10
	// readLimit bounds the reading of a request.
	readLimit = time.Second
)

// Settings is a version of the settings as the operators wrote it.
type Settings struct {
	Data    []byte
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
	src Source
	log *zap.Logger

	mu      sync.Mutex
	version uint64 // of packed
	packed  []byte
}

// NewServer makes a server.
func NewServer(src Source, log *zap.Logger) *Server { return &Server{src: src, log: log} }

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
		s.settings(ctx)
	case pathServers:
		n, ok := s.src.Servers()
		if !ok {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		ctx.SetBody(wire.EncodeNews(&n))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Server) settings(ctx *fasthttp.RequestCtx) {
	set, ok := s.src.Settings()
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	body, err := s.pack(set)
	switch {
	case err != nil:
		s.log.Error("settings not packed", zap.Error(err))
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	case len(body) > maxShared:
		ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
	default:
		ctx.Response.Header.Set(headerVersion, strconv.FormatUint(set.Version, 10))
		ctx.Response.Header.Set(headerAge, strconv.FormatInt(int64(set.Age), 10))
		ctx.SetBody(body)
	}
}

// pack compresses a version once.
func (s *Server) pack(set Settings) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.packed != nil && s.version == set.Version {
		return s.packed, nil
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(set.Data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	s.version, s.packed = set.Version, b.Bytes()
	return s.packed, nil
}
