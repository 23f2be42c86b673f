package caller

import (
	"bufio"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"umberladder/internal/core/refuse"
)

// encoder writes the events of one stream. The parts of an event that do not
// change are made once.
type encoder struct {
	head, middle, tail []byte
	finishHead         []byte
	finishTail         []byte
	arena              fastjson.Arena
	buf                []byte
	bytes              int
}

func newEncoder(st Stream, created time.Time) *encoder {
	id, object := "cmpl-", "text_completion"
	open, shut := `"choices":[{"index":0,"text":`, `,"logprobs":null,"finish_reason":null}]}`
	end := `"choices":[{"index":0,"text":"","logprobs":null,"finish_reason":`
	if st.Chat() {
		id, object = "chatcmpl-", "chat.completion.chunk"
		open, shut = `"choices":[{"index":0,"delta":{"content":`, `},"finish_reason":null}]}`
		end = `"choices":[{"index":0,"delta":{},"finish_reason":`
	}
	common := `{"id":"` + id + string(st.Request()) + `","object":"` + object + `","created":` +
		strconv.FormatInt(created.Unix(), 10) + `,"model":"` + string(st.Service()) + `",`
	return &encoder{
		head:       []byte("id: "),
		middle:     []byte("\ndata: " + common + open),
		tail:       []byte(shut + "\n\n"),
		finishHead: []byte("data: " + common + end),
		finishTail: []byte("}]}\n\ndata: [DONE]\n\n"),
	}
}

func (e *encoder) token(w *bufio.Writer, t Token) error {
	e.arena.Reset()
	b := append(e.buf[:0], e.head...)
	b = strconv.AppendUint(b, t.Index, 10)
	b = append(b, e.middle...)
	b = e.arena.NewString(t.Text).MarshalTo(b)
	b = append(b, e.tail...)
	return e.write(w, b)
}

func (e *encoder) finish(w *bufio.Writer, t Token) error {
	e.arena.Reset()
	b := append(e.buf[:0], e.finishHead...)
	b = e.arena.NewString(t.Finish).MarshalTo(b)
	b = append(b, e.finishTail...)
	return e.write(w, b)
}

// refusal ends a stream that did not end whole: no [DONE] follows.
func (e *encoder) refusal(w *bufio.Writer, r *refuse.Refusal, code string) error {
	e.arena.Reset()
	b := append(e.buf[:0], "event: error\ndata: "...)
	b = problem(&e.arena, r, code).MarshalTo(b)
	b = append(b, "\n\n"...)
	return e.write(w, b)
}

func (e *encoder) write(w *bufio.Writer, b []byte) error {
	e.buf = b
	e.bytes += len(b)
	if _, err := w.Write(b); err != nil {
		return err
	}
	return w.Flush()
}

// stream answers with the tokens of st as they come.
func (s *Server) stream(ctx *fasthttp.RequestCtx, st Stream) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-store")
	ctx.Response.Header.Set(headerRequest, string(st.Request()))
	ctx.Response.Header.Set(headerResume, st.Handle())
	e := newEncoder(st, time.Now())
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		left := s.relay(w, e, st)
		st.Close(left, e.bytes)
	})
}

// relay copies the stream to w and reports whether the caller left early.
func (s *Server) relay(w *bufio.Writer, e *encoder, st Stream) bool {
	for {
		t, refusal := st.Next()
		switch {
		case refusal != nil:
			return e.refusal(w, refusal, s.handler.Code(refusal)) != nil
		case t.Finish != "":
			return e.finish(w, t) != nil
		}
		if e.token(w, t) != nil {
			return true
		}
	}
}
