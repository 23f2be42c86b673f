package reqlog

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fastjson"
)

// msgEnded is the message of the line that a VM logs at the end of each call.
const msgEnded = "call ended"

// Refusal is what the line of a refused call says.
type Refusal struct {
	At      time.Time // zero: not given
	VM      string
	Request string
	Route   string
	Kind    string
	Service string
	Status  int
	Sent    int           // how often the call was sent to servers
	Queued  time.Duration // how long the call waited for capacity

	Reason     string
	Ran        string
	Detail     string
	RetryAfter time.Duration // zero: the client was given none
}

// ReadRefusals reads log lines and calls f for each line of a refused call, in order, until f
// returns an error. Text before a line's JSON object is skipped. It returns the number of other
// lines, empty ones not counted.
func ReadRefusals(in io.Reader, f func(*Refusal) error) (others int, err error) {
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		line := bytes.TrimSpace(s.Bytes())
		if len(line) == 0 {
			continue
		}
		r := parseRefusal(line)
		if r == nil {
			others++
			continue
		}
		if err := f(r); err != nil {
			return others, err
		}
	}
	return others, trace.Wrap(s.Err())
}

// maxPrefixBraces bounds how many opening braces before a line's JSON object are skipped.
const maxPrefixBraces = 16

// parseRefusal returns what a line says of a refused call, or nil if it is another line. Extracts
// of a line may lack the message, if they have the reason of the refusal and whether the call ran.
// Lines of other events have a reason too.
func parseRefusal(line []byte) *Refusal {
	for range maxPrefixBraces {
		start := bytes.IndexByte(line, '{')
		if start < 0 {
			return nil
		}
		line = line[start:]
		if v, err := fastjson.ParseBytes(line); err == nil {
			return refusalOf(v)
		}
		line = line[1:]
	}
	return nil
}

func refusalOf(v *fastjson.Value) *Refusal {
	text := func(name string) string { return string(v.GetStringBytes(name)) }
	switch msg := text("msg"); {
	case text("reason") == "", msg != "" && msg != msgEnded, msg == "" && text("ran") == "":
		return nil
	}
	duration := func(name string) time.Duration {
		d, err := time.ParseDuration(text(name))
		if err != nil {
			return 0
		}
		return d
	}
	at, err := time.Parse(time.RFC3339Nano, text("ts"))
	if err != nil {
		at = time.Time{}
	}
	return &Refusal{
		At: at, VM: text("vm"), Request: text("request"), Route: text("route"), Kind: text("kind"), Service: text("service"),
		Status: v.GetInt("status"), Sent: v.GetInt("sent"), Queued: duration("queued"),
		Reason: text("reason"), Ran: text("ran"), Detail: text("detail"), RetryAfter: duration("retry-after"),
	}
}
