package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is one attempt of a client.
type request struct {
	id      string
	method  string
	path    string
	timeout time.Duration
	header  string // further header lines, each with its line end
	body    string
}

// response is what a client got. If err is set, the connection ended or the client gave up
// before the answer was complete.
type response struct {
	status    int
	header    http.Header
	body      []byte
	err       error
	connected bool
}

const (
	host   = "crew.example"
	apiKey = "xd9dnn2ctnfzs989anu6"
)

// client is a client's connection to a VM.
type client struct {
	conn net.Conn
	r    *bufio.Reader
}

// dial opens a channel. Clients allow a second for that.
func dial(front string) (*client, error) {
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: c, r: bufio.NewReader(c)}, nil
}

func (c *client) close() { _ = c.conn.Close() }

// do sends a request and reads the answer.
func (c *client) do(q request) response {
	_ = c.conn.SetDeadline(time.Now().Add(q.timeout))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Umberladder-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s",
		q.method, q.path, host, headerAttempt, q.id, q.timeout.Milliseconds(), apiKey, q.header)
	if q.method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	if _, err := io.WriteString(c.conn, text+"\r\n"+q.body); err != nil {
		return response{err: err, connected: true}
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: q.method})
	if err != nil {
		return response{err: err, connected: true}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: body, err: err, connected: true}
}

// send opens a channel for one request.
func send(front string, q request) response {
	c, err := dial(front)
	if err != nil {
		return response{err: err}
	}
	defer c.close()
	return c.do(q)
}
