package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	headerAttempt     = "X-Umberladder-Attempt-Id"
	headerSignature   = "X-Umberladder-Response-Signature"
	headerNotExecuted = "X-Umberladder-Not-Executed"
	headerInstance    = "X-Umberladder-Expect-Instance"
	heartbeat         = 1200 * time.Millisecond
)

// server is the stand-in of a backend server. It serves one request at a time on a connection.
type server struct {
	id      string
	service string
	slots   int
	fleet   *fleet
	addr    string
	handle  handler
}

// handler serves one request and reports whether the connection can serve another.
type handler func(w net.Conn, r *http.Request) (keep bool)

// startServer starts a server and registers it in the store.
func (f *fleet) startServer(ctx context.Context, id, service string, slots int, handle func(s *server) handler) error {
	ln, err := f.listen(f.host)
	if err != nil {
		return err
	}
	s := &server{id: id, service: service, slots: slots, fleet: f, addr: ln.Addr().String()}
	s.handle = handle(s)
	f.group.Go(func() error {
		for {
			c, err := ln.Accept()
			if err != nil {
				return nil //nolint:nilerr // the listener was closed
			}
			f.group.Go(func() error { s.serve(c); return nil })
		}
	})
	f.group.Go(func() error {
		for n := 1; ctx.Err() == nil; n++ {
			s.register(n)
			select {
			case <-ctx.Done():
			case <-time.After(heartbeat):
			}
		}
		return nil
	})
	return nil
}

// register writes the server's entry.
func (s *server) register(sequence int) {
	s.fleet.store.Put("servers/"+s.id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"kgn-a","version":"v1","slots":%d,"state":"ready","coldRemainingMs":0,"sequence":%d}`,
		s.service, s.addr, s.slots, sequence))
}

func (s *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if expected := req.Header.Get(headerInstance); expected != "" && expected != s.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Umberladder-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
			continue
		}
		if !s.handle(c, req) {
			return
		}
	}
}

// signature returns the stand-in's signature of the answer to an attempt.
func signature(server, attempt string, body []byte) string {
	return fmt.Sprintf("%s.%s.%x", server, attempt, len(body))
}

// answer writes a complete answer with the server's signature.
func (s *server) answer(w io.Writer, attempt string, status int, body []byte) bool {
	_, err := fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), headerAttempt, attempt, headerSignature, signature(s.id, attempt, body), len(body), body)
	return err == nil
}
