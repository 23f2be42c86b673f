package nodes

import (
	"bytes"
	"context"
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"umberladder/internal/core/seal"
	"umberladder/internal/peer/proto"
)

const (
	sealHeader = "Umberladder-Seal"
	maxCall    = 64 << 20
	headerTime = 5 * time.Second
	callIdle   = time.Minute
	keptConns  = 2
)

// signed is what a call's seal covers: its path and its body.
func signed(path string, body []byte) []byte {
	return append([]byte(path+"\n"), body...)
}

// Clients makes twirp clients for other VMs. It is safe for use by several
// goroutines.
type Clients struct {
	http *http.Client

	mu    sync.Mutex
	known map[netip.AddrPort]proto.Nodes
}

// NewClients makes clients whose calls are sealed by the ring.
func NewClients(ring *seal.Ring, timeout time.Duration) *Clients {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: keptConns,
		IdleConnTimeout:     callIdle,
		DisableCompression:  true,
	}
	c := &http.Client{Transport: &sealer{ring: ring, next: t}, Timeout: timeout}
	return &Clients{http: c, known: map[netip.AddrPort]proto.Nodes{}}
}

// To returns the client of the VM at addr.
func (c *Clients) To(addr netip.AddrPort) proto.Nodes {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.known[addr]
	if n == nil {
		n = proto.NewNodesProtobufClient("http://"+addr.String(), c.http)
		c.known[addr] = n
	}
	return n
}

// sealer seals each call it sends.
type sealer struct {
	ring *seal.Ring
	next http.RoundTripper
}

func (s *sealer) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	_ = r.Body.Close()
	r = r.Clone(r.Context())
	r.Body = io.NopCloser(bytes.NewReader(body))
	// Without this, net/http could send the call a second time by itself.
	r.GetBody = nil
	sum := s.ring.Packet(nil, signed(r.URL.Path, body))
	r.Header.Set(sealHeader, base64.StdEncoding.EncodeToString(sum[:seal.Overhead]))
	return s.next.RoundTrip(r)
}

// Serve answers other VMs' calls on ln until ctx ends.
func Serve(ctx context.Context, ln net.Listener, ring *seal.Ring, traffic *Traffic, n proto.Nodes) error {
	s := &http.Server{
		Handler:           opener(ring, traffic, proto.NewNodesServer(n)),
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       2 * callIdle,
	}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := s.Serve(&meter{Listener: ln, bytes: &traffic.Calls})
	if ctx.Err() != nil {
		return nil
	}
	return trace.Wrap(err)
}

// meter counts the bytes of a listener's connections.
type meter struct {
	net.Listener
	bytes *atomic.Uint64
}

func (m *meter) Accept() (net.Conn, error) {
	c, err := m.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &metered{Conn: c, bytes: m.bytes}, nil
}

type metered struct {
	net.Conn
	bytes *atomic.Uint64
}

func (m *metered) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	m.bytes.Add(uint64(n))
	return n, err
}

func (m *metered) Write(p []byte) (int, error) {
	n, err := m.Conn.Write(p)
	m.bytes.Add(uint64(n))
	return n, err
}

// opener lets only calls through that the ring sealed.
func opener(ring *seal.Ring, traffic *Traffic, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCall))
		if err != nil {
			http.Error(w, "the call can't be read", http.StatusBadRequest)
			return
		}
		sum, err := base64.StdEncoding.DecodeString(r.Header.Get(sealHeader))
		if err == nil {
			_, err = ring.OpenPacket(append(sum, signed(r.URL.Path, body)...))
		}
		if err != nil {
			traffic.Forged.Add(1)
			http.Error(w, "the call is not sealed by this system", http.StatusForbidden)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}
