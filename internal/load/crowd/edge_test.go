package crowd_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"umberladder/internal/test/check"
	"umberladder/platform/fake"
)

// maxBody is the largest body that the settings allow, in bytes.
const maxBody = 4 << 20

// settingsFormat has the size of the largest header section as its argument. The service wide sends
// responses of wideResponse bytes, and the service flood events of floodEvent bytes.
const settingsFormat = `{"version":1,
"limits":{"maxHeaderBytes":%d,"maxBodyBytes":4194304,"headerTimeoutMs":15000,"idleTimeoutMs":20000},
"routes":[
{"name":"get","hostname":"soak.example","prefix":"/get/","kind":"idempotent","timeoutMs":4000,"targetLatencyMs":600,"service":"plain","maxAttempts":2},
{"name":"slow","hostname":"soak.example","prefix":"/slow/","kind":"idempotent","timeoutMs":20000,"targetLatencyMs":600,"service":"slow","maxAttempts":1},
{"name":"wide","hostname":"soak.example","prefix":"/wide/","kind":"idempotent","timeoutMs":20000,"targetLatencyMs":600,"service":"wide","maxAttempts":1},
{"name":"stream","hostname":"soak.example","prefix":"/stream/","kind":"streaming","timeoutMs":30000,"targetLatencyMs":20000,"service":"engines","maxAttempts":1},
{"name":"flood","hostname":"soak.example","prefix":"/resume/","kind":"streaming","timeoutMs":30000,"targetLatencyMs":20000,"service":"flood","maxAttempts":1}],
"services":[{"name":"plain"},{"name":"slow"},{"name":"wide"},
{"name":"engines","engine":{"slots":8,"kvCapacityTokens":30000,"stride":1}},
{"name":"flood","engine":{"slots":500,"kvCapacityTokens":30000000,"stride":1}}],
"tenants":[{"name":"team","apiKeys":["k"]}]}`

const (
	// wideResponse and floodEvent are the sizes of the responses of the service wide, and of the
	// events of the service flood, in bytes.
	wideResponse = 1 << 20
	floodEvent   = 512 << 10

	signedHead = "HTTP/1.1 200 OK\r\nX-Umberladder-Attempt-Id: {id}\r\nX-Umberladder-Response-Signature: of-{id}\r\n"
)

// edge is an edge VM with fakes of the platform.
type edge struct {
	*process
	clients netip.AddrPort
	metrics netip.AddrPort
	group   errgroup.Group
}

var networks atomic.Uint32

// freeAddrs returns n addresses of a host on which nothing listens.
func freeAddrs(t *testing.T, host string, n int) []netip.AddrPort {
	t.Helper()
	out := make([]netip.AddrPort, n)
	for i := range out {
		ln, err := net.Listen("tcp", host+":0")
		assert.NilError(t, err)
		defer func() { assert.NilError(t, ln.Close()) }()
		out[i] = netip.MustParseAddrPort(ln.Addr().String())
	}
	return out
}

// startEdge starts an edge VM with the default settings of the file and waits until it is ready.
func startEdge(t *testing.T, maxHeader int) *edge {
	t.Helper()
	e := &edge{}
	nw := networks.Add(1)
	host := fmt.Sprintf("127.77.%d.1", nw)
	store := fake.NewStore()
	ln := e.serve(t, "127.0.0.1:0", store.Serve)
	for _, service := range []string{"plain", "slow", "wide", "engines", "flood"} {
		e.startServer(t, service, fmt.Sprintf("127.77.%d.2:0", nw), store)
	}
	store.Put("op/config", fmt.Appendf(nil, settingsFormat, maxHeader))
	a := freeAddrs(t, host, 4)
	e.clients, e.metrics = a[0], a[2]
	file := filepath.Join(t.TempDir(), "vm.json")
	text := fmt.Sprintf(`{"name":"vm-1","failure-domain":"a","callers-address":%q,"ready-address":%q,"metrics-address":%q,"peers-address":%q,"store-address":%q}`,
		a[0], a[1], a[2], a[3], ln)
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	e.process = startProcess(t, a[0].Addr(), "edge", "--config", file)
	check.Eventually(t, 20*time.Second, "the VM is ready", func() bool { return status("http://"+a[1].String()+"/readiness") == http.StatusOK })
	return e
}

// serve serves on an address until the test ends, and returns the address with its port.
func (e *edge) serve(t *testing.T, addr string, serve func(net.Listener) error) string {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	assert.NilError(t, err)
	e.group.Go(func() error {
		_ = serve(ln)
		return nil
	})
	t.Cleanup(func() {
		_ = ln.Close()
		_ = e.group.Wait()
	})
	return ln.Addr().String()
}

// startServer starts a server of a service.
func (e *edge) startServer(t *testing.T, service, addr string, store *fake.Store) {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	assert.NilError(t, err)
	s := fake.NewServer("i-"+service, service, "a", ln.Addr().String(), store, fake.NewRunLog())
	s.SetSlots(10_000)
	switch service {
	case "slow":
		s.SetSpeed(0.0025) // calls take 4 to 8 s
	case "engines":
		s.SetSlots(8)
		s.SetSpeed(0.05) // streams take 18 s
	case "wide":
		s.SetSpoil(&fake.Spoil{Text: fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", signedHead, wideResponse, strings.Repeat("x", wideResponse))})
	case "flood":
		s.SetSpoil(&fake.Spoil{Text: signedHead + "Content-Type: text/event-stream\r\n\r\n", Repeat: "id: 1\ndata: " + strings.Repeat("x", floodEvent) + "\n\n"})
	}
	e.group.Go(func() error {
		_ = s.Serve(ln)
		return nil
	})
	t.Cleanup(func() {
		_ = ln.Close()
		s.Crash()
	})
	s.Register()
}

// status returns the status of the response to a GET request, or 0.
func status(url string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// head returns the header section of a client's request, to which fields may be added.
func head(method, path, id string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Umberladder-Attempt-Id: %s\r\nAuthorization: Bearer k\r\nX-Umberladder-Token-Usage: 100,100\r\n", method, path, fake.Host, id)
}

// post returns the header section of a request with a body of the largest size.
func post(path string, n int) string {
	return head(http.MethodPost, path, fmt.Sprintf("post-%d", n)) + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody)
}

// get returns a small request.
func get(path string, n int) string {
	return head(http.MethodGet, path, fmt.Sprintf("get-%d", n)) + "\r\n"
}

// send sends one request on a new connection and returns the status of its response, or 0.
func (e *edge) send(path, id string, body int) int {
	c, err := net.DialTimeout("tcp", e.clients.String(), time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	method := http.MethodGet
	if body > 0 {
		method = http.MethodPost
	}
	_, _ = io.WriteString(c, head(method, path, id)+fmt.Sprintf("Content-Length: %d\r\nConnection: close\r\n\r\n", body))
	sendZeros(c, body)
	answer, err := io.ReadAll(c)
	if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 ") {
		return 0
	}
	code := 0
	_, _ = fmt.Sscanf(string(answer), "HTTP/1.1 %d", &code)
	return code
}

// checkServes fails the test unless a request with a body of a size is served. As clients do, it is
// sent again if it was refused or its connection was closed.
func (e *edge) checkServes(t *testing.T, what string, body int) {
	t.Helper()
	for n := range 40 {
		if e.ended.Load() {
			break
		}
		if code := e.send("/get/x", fmt.Sprintf("%s-%d", strings.ReplaceAll(what, " ", "-"), n), body); code == http.StatusOK {
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
	assert.Check(t, false, "not served: %s", what)
}

// checkCrowd sends a crowd to the VM and checks that the VM stays within its bounds, and that an
// ordinary request is answered beside the crowd and after it.
func checkCrowd(t *testing.T, e *edge, n, descriptors int, send func(n int, c net.Conn)) {
	t.Helper()
	w := newCrowd(t, e.clients, n, send)
	e.checkServes(t, "beside the crowd", 0)
	assert.Check(t, status("http://"+e.metrics.String()+"/metrics") == http.StatusOK, "metrics")
	w.leave()
	e.checkServes(t, "after the crowd", 0)
	e.check(descriptors)
}

// allDescriptors is a bound that no crowd without a limit of descriptors reaches.
const allDescriptors = 15_000

// TestBodies guards against a process that runs out of memory because clients send many bodies of
// a size that is allowed, and against requests that are no longer served beside them.
func TestBodies(t *testing.T) {
	const clients = 60
	for name, send := range map[string]func(n int, c net.Conn){
		"all but the last byte": func(n int, c net.Conn) {
			_, _ = io.WriteString(c, post("/get/x", n))
			sendZeros(c, maxBody-1)
		},
		"chunks without the last one": func(n int, c net.Conn) {
			_, _ = io.WriteString(c, head(http.MethodPost, "/get/x", fmt.Sprintf("post-%d", n))+"Transfer-Encoding: chunked\r\n\r\n")
			sendChunks(c, maxBody)
		},
		"complete, to a slow server": func(n int, c net.Conn) {
			_, _ = io.WriteString(c, post("/slow/x", n))
			sendZeros(c, maxBody)
		},
		"complete, to an engine that is full": func(n int, c net.Conn) {
			_, _ = io.WriteString(c, post("/stream/x", n))
			sendZeros(c, maxBody)
		},
		"all but the last byte, with a key that is not known": func(n int, c net.Conn) {
			_, _ = io.WriteString(c, strings.Replace(post("/get/x", n), "Bearer k", "Bearer other", 1))
			sendZeros(c, maxBody-1)
		},
	} {
		t.Run(name, func(t *testing.T) { checkCrowd(t, startEdge(t, 16<<10), clients, allDescriptors, send) })
	}
}

// TestHeaders guards against a process that runs out of memory because of header sections that do
// not end.
func TestHeaders(t *testing.T) {
	const (
		clients   = 2500
		maxHeader = 64 << 10
	)
	checkCrowd(t, startEdge(t, maxHeader), clients, allDescriptors, func(n int, c net.Conn) {
		_, _ = io.WriteString(c, head(http.MethodGet, "/get/x", fmt.Sprintf("get-%d", n))+"X-Long: "+strings.Repeat("x", maxHeader-1024))
	})
}

// TestIdleConnections guards against a process that runs out of memory because clients keep their
// connections after a request.
func TestIdleConnections(t *testing.T) {
	const clients = 4500
	checkCrowd(t, startEdge(t, 16<<10), clients, allDescriptors, func(n int, c net.Conn) {
		_, _ = io.WriteString(c, get("/get/x", n))
		_, _ = c.Read(make([]byte, 1<<10))
	})
}

// TestUnreadAnswers guards against a process that runs out of memory because clients send requests
// ahead and do not read the answers.
func TestUnreadAnswers(t *testing.T) {
	const (
		clients = 400
		ahead   = 20
	)
	checkCrowd(t, startEdge(t, 16<<10), clients, allDescriptors, func(n int, c net.Conn) {
		for i := range ahead {
			_, _ = io.WriteString(c, get("/wide/x", n*ahead+i))
		}
	})
}

// TestUnreadStreams guards against a process that runs out of memory because engines send large
// events to clients that do not read them.
func TestUnreadStreams(t *testing.T) {
	const clients = 60
	checkCrowd(t, startEdge(t, 16<<10), clients, allDescriptors, func(n int, c net.Conn) {
		_, _ = io.WriteString(c, head(http.MethodPost, "/resume/x", fmt.Sprintf("post-%d", n))+"Content-Length: 0\r\n\r\n")
	})
}

// TestDescriptors guards against a process that ends, or no longer accepts connections, once
// clients have used up its descriptors. Half of the clients keep their connections after a
// request, and the others do not end their header sections.
func TestDescriptors(t *testing.T) {
	for _, limit := range []int{256, 1024, 4100} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			e := startEdge(t, 16<<10)
			e.limitDescriptors(limit)
			checkCrowd(t, e, limit+100, limit, func(n int, c net.Conn) {
				if n%2 == 0 {
					_, _ = io.WriteString(c, get("/get/x", n))
					_, _ = c.Read(make([]byte, 1<<10))
					return
				}
				_, _ = io.WriteString(c, head(http.MethodGet, "/get/x", fmt.Sprintf("get-%d", n)))
			})
		})
	}
}

// TestLargestBody guards against bounds that refuse a request inside the limits: the largest body
// is served by a VM with the least memory, also while others hold a part of it.
func TestLargestBody(t *testing.T) {
	const others = 3
	e := startEdge(t, 16<<10)
	assert.Equal(t, e.send("/get/x", "calm", maxBody), http.StatusOK)
	newCrowd(t, e.clients, others, func(n int, c net.Conn) {
		_, _ = io.WriteString(c, post("/get/x", n))
		sendZeros(c, maxBody-1)
	})
	assert.Equal(t, e.send("/get/x", "beside", maxBody), http.StatusOK)
	e.check(allDescriptors)
}
