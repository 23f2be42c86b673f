package nodes

import (
	"bytes"
	"context"
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"umberladder/internal/core/seal"
	"umberladder/internal/peer/header"
	"umberladder/internal/peer/proto"
)

const (
	sealHeader    = "Umberladder-Seal"
	maxCallSize   = 64 << 20
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
	maxIdleConns  = 2
)

// sealedBytes returns the bytes that a call's seal covers: its path and its body.
func sealedBytes(path string, body []byte) []byte {
	return append([]byte(path+"\n"), body...)
}

// ClientPool holds the twirp clients for other VMs. It is safe for concurrent
// use.
type ClientPool struct {
	http *http.Client

	mu      sync.Mutex
	clients map[netip.AddrPort]proto.Nodes
}

// NewClientPool returns a pool of clients that seal their calls with ring.
func NewClientPool(ring *seal.KeyRing, timeout time.Duration) *ClientPool {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	c := &http.Client{Transport: &sealTransport{ring: ring, next: t}, Timeout: timeout}
	return &ClientPool{http: c, clients: map[netip.AddrPort]proto.Nodes{}}
}

// Get returns the client of the VM at addr.
func (p *ClientPool) Get(addr netip.AddrPort) proto.Nodes {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.clients[addr]
	if n == nil {
		n = proto.NewNodesProtobufClient("http://"+addr.String(), p.http)
		p.clients[addr] = n
	}
	return n
}

// interimCheck rejects calls for which an interim response has a field name that is no token.
var interimCheck = &httptrace.ClientTrace{
	Got1xxResponse: func(_ int, fields textproto.MIMEHeader) error { return header.CheckFields(fields) },
}

// sealTransport is an http.RoundTripper that seals each call, and rejects responses with a broken
// header.
type sealTransport struct {
	ring *seal.KeyRing
	next http.RoundTripper
}

func (s *sealTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	_ = r.Body.Close()
	r = r.Clone(httptrace.WithClientTrace(r.Context(), interimCheck))
	r.Body = io.NopCloser(bytes.NewReader(body))
	// With GetBody set, net/http could retry the call by itself.
	r.GetBody = nil
	sealed := s.ring.SealPacket(nil, sealedBytes(r.URL.Path, body))
	r.Header.Set(sealHeader, base64.StdEncoding.EncodeToString(sealed[:seal.Overhead]))
	resp, err := s.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := header.CheckResponse(resp); err != nil {
		_ = resp.Body.Close()
		return nil, trace.Wrap(err)
	}
	return resp, nil
}

// Serve serves other VMs' calls on ln until ctx ends.
func Serve(ctx context.Context, ln net.Listener, ring *seal.KeyRing, traffic *Traffic, n proto.Nodes) error {
	s := &http.Server{
		Handler:           requireSeal(ring, traffic, proto.NewNodesServer(n)),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       2 * idleTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := s.Serve(&countingListener{Listener: ln, bytes: &traffic.CallBytes})
	if ctx.Err() != nil {
		return nil
	}
	return trace.Wrap(err)
}

// countingListener counts the bytes read and written on its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Uint64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, bytes: l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Uint64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(uint64(n))
	return n, err
}

// requireSeal passes calls on to next if they are sealed with a key of the ring,
// and refuses and counts all others.
func requireSeal(ring *seal.KeyRing, traffic *Traffic, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallSize))
		if err != nil {
			http.Error(w, "the call can't be read", http.StatusBadRequest)
			return
		}
		tag, err := base64.StdEncoding.DecodeString(r.Header.Get(sealHeader))
		if err == nil {
			_, err = ring.OpenPacket(append(tag, sealedBytes(r.URL.Path, body)...))
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
