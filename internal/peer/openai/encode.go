package openai

import (
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"umberladder/internal/core/ident"
)

// Token is one token of a stream, or the end of the stream.
type Token struct {
	Index        uint64
	Text         string
	FinishReason string // only at the end: "stop" or "length"
}

// Completion is the complete result of a generation.
type Completion struct {
	Request          ident.Request
	Text             string
	FinishReason     string
	PromptTokens     int
	CompletionTokens int
}

// Encode returns the body of the unary response to req.
func (c *Completion) Encode(req *Request, now time.Time) []byte {
	var a fastjson.Arena
	o, choice, usage := a.NewObject(), a.NewObject(), a.NewObject()
	choice.Set("index", a.NewNumberInt(0))
	choice.Set("finish_reason", a.NewString(c.FinishReason))
	if req.Chat {
		m := a.NewObject()
		m.Set("role", a.NewString("assistant"))
		m.Set("content", a.NewString(c.Text))
		choice.Set("message", m)
		o.Set("id", a.NewString("chatcmpl-"+string(c.Request)))
		o.Set("object", a.NewString("chat.completion"))
	} else {
		choice.Set("text", a.NewString(c.Text))
		choice.Set("logprobs", a.NewNull())
		o.Set("id", a.NewString("cmpl-"+string(c.Request)))
		o.Set("object", a.NewString("text_completion"))
	}
	o.Set("created", a.NewNumberString(strconv.FormatInt(now.Unix(), 10)))
	o.Set("model", a.NewString(string(req.Service)))
	list := a.NewArray()
	list.SetArrayItem(0, choice)
	o.Set("choices", list)
	usage.Set("prompt_tokens", a.NewNumberInt(c.PromptTokens))
	usage.Set("completion_tokens", a.NewNumberInt(c.CompletionTokens))
	usage.Set("total_tokens", a.NewNumberInt(c.PromptTokens+c.CompletionTokens))
	o.Set("usage", usage)
	return o.MarshalTo(nil)
}

// EncodeModels returns the body of a response that lists the services as models.
func EncodeModels(names []ident.Service) []byte {
	var a fastjson.Arena
	o, list := a.NewObject(), a.NewArray()
	for i, name := range names {
		m := a.NewObject()
		m.Set("id", a.NewString(string(name)))
		m.Set("object", a.NewString("model"))
		m.Set("owned_by", a.NewString("umberladder"))
		list.SetArrayItem(i, m)
	}
	o.Set("object", a.NewString("list"))
	o.Set("data", list)
	return o.MarshalTo(nil)
}

// Encoder encodes the server-sent events of one stream. The constant parts of
// the events are encoded once, and the buffer is reused by the next call.
type Encoder struct {
	tokenMiddle, tokenTail []byte
	finishHead             []byte
	finishTail             []byte
	arena                  fastjson.Arena
	buf                    []byte
}

// NewEncoder returns the encoder for a stream.
func NewEncoder(r ident.Request, s ident.Service, chat bool, created time.Time) *Encoder {
	id, object := "cmpl-", "text_completion"
	tokenOpen, tokenClose := `"choices":[{"index":0,"text":`, `,"logprobs":null,"finish_reason":null}]}`
	finishOpen := `"choices":[{"index":0,"text":"","logprobs":null,"finish_reason":`
	if chat {
		id, object = "chatcmpl-", "chat.completion.chunk"
		tokenOpen, tokenClose = `"choices":[{"index":0,"delta":{"content":`, `},"finish_reason":null}]}`
		finishOpen = `"choices":[{"index":0,"delta":{},"finish_reason":`
	}
	common := `{"id":"` + id + string(r) + `","object":"` + object + `","created":` +
		strconv.FormatInt(created.Unix(), 10) + `,"model":"` + string(s) + `",`
	return &Encoder{
		tokenMiddle: []byte("\ndata: " + common + tokenOpen),
		tokenTail:   []byte(tokenClose + "\n\n"),
		finishHead:  []byte("data: " + common + finishOpen),
		finishTail:  []byte("}]}\n\ndata: [DONE]\n\n"),
	}
}

// Token returns the event for one token. It is valid until the next call.
func (e *Encoder) Token(t Token) []byte {
	e.arena.Reset()
	b := append(e.buf[:0], "id: "...)
	b = strconv.AppendUint(b, t.Index, 10)
	b = append(b, e.tokenMiddle...)
	b = e.arena.NewString(t.Text).MarshalTo(b)
	e.buf = append(b, e.tokenTail...)
	return e.buf
}

// Finish returns the events that end the stream. They are valid until the next
// call.
func (e *Encoder) Finish(t Token) []byte {
	e.arena.Reset()
	b := append(e.buf[:0], e.finishHead...)
	b = e.arena.NewString(t.FinishReason).MarshalTo(b)
	e.buf = append(b, e.finishTail...)
	return e.buf
}
