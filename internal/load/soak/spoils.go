package soak

import (
	"context"
	"strings"

	"umberladder/platform/fake"
)

const (
	echo   = "X-Umberladder-Attempt-Id: {id}\r\n"
	signed = "HTTP/1.1 200 OK\r\n" + echo + "X-Umberladder-Response-Signature: of-{id}\r\n"
)

// spoils are what faulty servers send instead of their responses.
var spoils = []fake.Spoil{
	{Text: "job 221 aborted\r\n\r\n"},
	{Text: "error 503 from worker pool\r\n\r\n"},
	{Text: "job 421 aborted\r\n\r\n"},
	{Text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
	{Text: "HTTP/1.1 201 Created\r\n" + echo + "Content-Length: 0\r\n\r\n"},
	{Text: "HTTP/1.1 503 Service Unavailable\r\nServer-Leaving: 1\r\n\r\n"},
	{Text: "HTTP/1.1 429 Too Many Requests\r\n" + echo + "Server-Limit: 0.1\r\nContent-Length: 0\r\n\r\n"},
	{Text: "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"},
	{Repeat: "HTTP/1.1 100 Continue\r\n\r\n"},
	{Text: signed + "Content-Type: text/event-stream\r\n\r\n", Repeat: strings.Repeat("data: x\n", 500)},
	{Text: signed + "\r\n", Repeat: strings.Repeat("x", 4000)},
}

// spoilResponses makes a server send something else instead of its responses for a time. It runs
// the calls.
func (r *run) spoilResponses(ctx context.Context) {
	b := r.pickServer()
	if b == nil {
		return
	}
	b.server.SetSpoil(&spoils[r.rng.IntN(len(spoils))])
	r.undoLater(ctx, func() { b.server.SetSpoil(nil) })
}
