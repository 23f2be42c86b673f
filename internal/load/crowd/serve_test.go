package crowd_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"umberladder/internal/load/plan"
	"umberladder/internal/test/inproc"
)

const (
	completions = "/v1/completions"
	small       = `{"model":"proposals","prompt":"produce=1 seed=1"}`
)

// node is an entry VM with fakes of its surroundings.
type node struct {
	*process
	fleet *inproc.Fleet
}

// startNode starts an entry VM with the default limits and waits until it is ready.
func startNode(t *testing.T, network int) *node {
	t.Helper()
	f := inproc.NewPlatform(t, network, 1)
	vm := f.Layout.VMs[0]
	n := &node{fleet: f, process: startProcess(t, vm.Address.Addr(), "serve", "--config", filepath.Join(f.Layout.Dir, vm.Name+".json"))}
	f.WaitReady(0)
	return n
}

// checkServes fails the test unless a small generation is served. As clients do, it is sent again if
// it was refused or its connection was closed.
func (n *node) checkServes(t *testing.T, what string) {
	t.Helper()
	for range 40 {
		if n.ended.Load() {
			break
		}
		if code, _, _ := n.fleet.Call(0, http.MethodPost, completions, plan.Installers, small); code == http.StatusOK {
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
	assert.Check(t, false, "not served: %s", what)
}

// checkCrowd sends a crowd to the VM and checks that the VM stays within its bounds, and that an
// ordinary request is answered beside the crowd and after it.
func (n *node) checkCrowd(t *testing.T, clients, descriptors int, send func(i int, c net.Conn)) {
	t.Helper()
	w := newCrowd(t, n.fleet.Layout.VMs[0].Address, clients, send)
	n.checkServes(t, "beside the crowd")
	w.leave()
	n.checkServes(t, "after the crowd")
	n.check(descriptors)
}

func nodeHead(key string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n", completions, key)
}

// TestNodeBodies is TestBodies for entry VMs.
func TestNodeBodies(t *testing.T) {
	const clients = 60
	key := plan.ClientKey(plan.Installers)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody)
	prompt := `{"model":"proposals","prompt":"produce=2000 seed=1 tag=` + strings.Repeat("x", maxBody-1000)
	for i, tc := range []struct {
		name string
		send func(i int, c net.Conn)
	}{
		{"all but the last byte, with a key that is not known", func(_ int, c net.Conn) {
			_, _ = io.WriteString(c, nodeHead("other")+length)
			sendZeros(c, maxBody-1)
		}},
		{"chunks without the last one", func(_ int, c net.Conn) {
			_, _ = io.WriteString(c, nodeHead(key)+"Transfer-Encoding: chunked\r\n\r\n")
			sendChunks(c, maxBody)
		}},
		{"a length alone", func(_ int, c net.Conn) {
			_, _ = io.WriteString(c, nodeHead(key)+length)
		}},
		{"complete, to engines that are full", func(i int, c net.Conn) {
			body := fmt.Sprintf(`%s%d"}`, prompt, i)
			_, _ = io.WriteString(c, nodeHead(key)+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))+body)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) { startNode(t, 180+i).checkCrowd(t, clients, allDescriptors, tc.send) })
	}
}

// TestNodeDescriptors is TestDescriptors for entry VMs.
func TestNodeDescriptors(t *testing.T) {
	for i, limit := range []int{256, 1024} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			n := startNode(t, 190+i)
			n.limitDescriptors(limit)
			key := plan.ClientKey(plan.Installers)
			n.checkCrowd(t, limit+100, limit, func(i int, c net.Conn) {
				if i%2 == 0 {
					_, _ = io.WriteString(c, nodeHead(key)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(small), small))
					_, _ = c.Read(make([]byte, 1<<10))
					return
				}
				_, _ = io.WriteString(c, nodeHead(key))
			})
		})
	}
}

// TestNodeLargestBody is TestLargestBody for entry VMs.
func TestNodeLargestBody(t *testing.T) {
	const others = 3
	n := startNode(t, 195)
	body := small[:len(small)-1] + `,"user":"` + strings.Repeat("x", maxBody-1000) + `"}`
	code, text, _ := n.fleet.Call(0, http.MethodPost, completions, plan.Installers, body)
	assert.Equal(t, code, http.StatusOK, text)
	newCrowd(t, n.fleet.Layout.VMs[0].Address, others, func(_ int, c net.Conn) {
		_, _ = io.WriteString(c, nodeHead(plan.ClientKey(plan.Installers))+fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody))
		sendZeros(c, maxBody-1)
	})
	code, text, _ = n.fleet.Call(0, http.MethodPost, completions, plan.Installers, body)
	assert.Equal(t, code, http.StatusOK, text)
	n.check(allDescriptors)
}

// TestNodeIdleConnections is TestIdleConnections for entry VMs.
func TestNodeIdleConnections(t *testing.T) {
	const clients = 4500
	n := startNode(t, 196)
	key := plan.ClientKey(plan.Installers)
	n.checkCrowd(t, clients, allDescriptors, func(_ int, c net.Conn) {
		_, _ = io.WriteString(c, fmt.Sprintf("GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", key))
		_, _ = c.Read(make([]byte, 1<<10))
	})
}
