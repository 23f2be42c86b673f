package caller

import (
	"bufio"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"umberladder/internal/core/refuse"
	"umberladder/internal/peer/openai"
)

// stream sends the tokens of st as server-sent events as they arrive.
func (s *Server) stream(ctx *fasthttp.RequestCtx, st Stream) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-store")
	ctx.Response.Header.Set(headerRequest, string(st.Request()))
	ctx.Response.Header.Set(headerResume, st.Handle())
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		events := &eventWriter{w: w, encoder: openai.NewEncoder(st.Request(), st.Service(), st.Chat(), time.Now())}
		disconnected := s.copyEvents(events, st)
		st.Close(disconnected, events.bytes)
	})
}

// eventWriter writes server-sent events to a client and counts their bytes.
type eventWriter struct {
	w       *bufio.Writer
	encoder *openai.Encoder
	bytes   int
}

func (e *eventWriter) write(event []byte) error {
	e.bytes += len(event)
	if _, err := e.w.Write(event); err != nil {
		return err
	}
	return e.w.Flush()
}

// copyEvents sends all tokens of the stream and reports whether the client
// disconnected before the end. A stream that fails ends with an event "error",
// without [DONE].
func (s *Server) copyEvents(events *eventWriter, st Stream) bool {
	for {
		t, refusal := st.Next()
		switch {
		case refusal != nil:
			return events.write(s.errorEvent(refusal)) != nil
		case t.FinishReason != "":
			return events.write(events.encoder.Finish(t)) != nil
		}
		if events.write(events.encoder.Token(t)) != nil {
			return true
		}
	}
}

func (s *Server) errorEvent(r *refuse.Refusal) []byte {
	var a fastjson.Arena
	b := problemDocument(&a, r, s.handler.Code(r)).MarshalTo([]byte("event: error\ndata: "))
	return append(b, "\n\n"...)
}
