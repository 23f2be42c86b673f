package openai

import (
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"umberladder/internal/core/ident"
)

// Token is one token of a stream, or its end.
type Token struct {
	Index  uint64
	Text   string
	Finish string // set at the end: "stop" or "length"
}

// Whole is a whole generation.
type Whole struct {
	Request      ident.Request
	Text         string
	Finish       string
	PromptTokens int
	Tokens       int
}

// Encode returns the body that answers g with the whole generation.
func (w *Whole) Encode(g *Generation, now time.Time) []byte {
	var a fastjson.Arena
	o, choice, usage := a.NewObject(), a.NewObject(), a.NewObject()
	choice.Set("index", a.NewNumberInt(0))
	choice.Set("finish_reason", a.NewString(w.Finish))
	if g.Chat {
		m := a.NewObject()
		m.Set("role", a.NewString("assistant"))
		m.Set("content", a.NewString(w.Text))
		choice.Set("message", m)
		o.Set("id", a.NewString("chatcmpl-"+string(w.Request)))
		o.Set("object", a.NewString("chat.completion"))
	} else {
		choice.Set("text", a.NewString(w.Text))
		choice.Set("logprobs", a.NewNull())
		o.Set("id", a.NewString("cmpl-"+string(w.Request)))
		o.Set("object", a.NewString("text_completion"))
	}
	o.Set("created", a.NewNumberString(strconv.FormatInt(now.Unix(), 10)))
	o.Set("model", a.NewString(string(g.Service)))
	list := a.NewArray()
	list.SetArrayItem(0, choice)
	o.Set("choices", list)
	usage.Set("prompt_tokens", a.NewNumberInt(w.PromptTokens))
	usage.Set("completion_tokens", a.NewNumberInt(w.Tokens))
	usage.Set("total_tokens", a.NewNumberInt(w.PromptTokens+w.Tokens))
	o.Set("usage", usage)
	return o.MarshalTo(nil)
}

// EncodeModels returns the body that lists services as models.
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

// Encoder writes the events of one stream. The parts of an event that do not
// change are made once, and its buffer is used again by the next call.
type Encoder struct {
	middle, tail []byte
	finishHead   []byte
	finishTail   []byte
	arena        fastjson.Arena
	buf          []byte
}

// NewEncoder makes the encoder of a stream.
func NewEncoder(r ident.Request, s ident.Service, chat bool, created time.Time) *Encoder {
	id, object := "cmpl-", "text_completion"
	open, shut := `"choices":[{"index":0,"text":`, `,"logprobs":null,"finish_reason":null}]}`
	end := `"choices":[{"index":0,"text":"","logprobs":null,"finish_reason":`
	if chat {
		id, object = "chatcmpl-", "chat.completion.chunk"
		open, shut = `"choices":[{"index":0,"delta":{"content":`, `},"finish_reason":null}]}`
		end = `"choices":[{"index":0,"delta":{},"finish_reason":`
	}
	common := `{"id":"` + id + string(r) + `","object":"` + object + `","created":` +
		strconv.FormatInt(created.Unix(), 10) + `,"model":"` + string(s) + `",`
	return &Encoder{
		middle:     []byte("\ndata: " + common + open),
		tail:       []byte(shut + "\n\n"),
		finishHead: []byte("data: " + common + end),
		finishTail: []byte("}]}\n\ndata: [DONE]\n\n"),
	}
}

// Token returns the event of one token, valid until the next call.
func (e *Encoder) Token(t Token) []byte {
	e.arena.Reset()
	b := append(e.buf[:0], "id: "...)
	b = strconv.AppendUint(b, t.Index, 10)
	b = append(b, e.middle...)
	b = e.arena.NewString(t.Text).MarshalTo(b)
	e.buf = append(b, e.tail...)
	return e.buf
}

// Finish returns the events of the end, valid until the next call.
func (e *Encoder) Finish(t Token) []byte {
	e.arena.Reset()
	b := append(e.buf[:0], e.finishHead...)
	b = e.arena.NewString(t.Finish).MarshalTo(b)
	e.buf = append(b, e.finishTail...)
	return e.buf
}
