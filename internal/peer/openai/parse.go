package openai

import (
	"math"
	"strings"

	"github.com/valyala/fastjson"

	"umberladder/internal/core/ident"
	"umberladder/internal/core/refuse"
)

// MaxTokens is the largest value that a client may set for max_tokens.
const MaxTokens = 1_000_000

// Request is a parsed request for a completion or chat completion.
type Request struct {
	Service   ident.Service // the member "model"
	Prompt    string
	MaxTokens int // zero: the client sets no limit
	Stream    bool
	Chat      bool
}

func badInput(format string, args ...any) *refuse.Refusal {
	return refuse.New(refuse.BadInput, format, args...)
}

// Parse parses the body of a request for a completion or, with chat, for a chat
// completion. A refusal names the invalid member.
func Parse(body []byte, chat bool) (Request, *refuse.Refusal) {
	req := Request{Chat: chat}
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		return req, badInput("the body is not valid JSON: %.120s", err)
	}
	if v.Type() != fastjson.TypeObject {
		return req, badInput("the body must be a JSON object")
	}
	return req, req.decode(v)
}

func (req *Request) decode(v *fastjson.Value) *refuse.Refusal {
	model := v.Get("model")
	if model == nil || model.Type() != fastjson.TypeString || ident.CheckName(string(model.GetStringBytes())) != nil {
		return badInput("model: want the name of a service, as a string")
	}
	req.Service = ident.Service(model.GetStringBytes())
	if r := req.decodePrompt(v); r != nil {
		return r
	}
	if r := req.decodeMaxTokens(v); r != nil {
		return r
	}
	if s := v.Get("stream"); s != nil && s.Type() != fastjson.TypeNull {
		b, err := s.Bool()
		if err != nil {
			return badInput("stream: want true or false")
		}
		req.Stream = b
	}
	if n := v.Get("n"); n != nil && n.Type() != fastjson.TypeNull {
		if k, err := n.Int(); err != nil || k != 1 {
			return badInput("n: only 1 is served")
		}
	}
	return nil
}

func (req *Request) decodeMaxTokens(v *fastjson.Value) *refuse.Refusal {
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		m := v.Get(name)
		if m == nil || m.Type() == fastjson.TypeNull {
			continue
		}
		f, err := m.Float64()
		if err != nil || f != math.Trunc(f) || f < 1 || f > MaxTokens {
			return badInput("%s: want a whole number from 1 to %d", name, MaxTokens)
		}
		req.MaxTokens = int(f)
	}
	return nil
}

func (req *Request) decodePrompt(v *fastjson.Value) *refuse.Refusal {
	if req.Chat {
		return req.decodeMessages(v.Get("messages"))
	}
	p := v.Get("prompt")
	if p != nil && p.Type() == fastjson.TypeArray && len(p.GetArray()) == 1 {
		p = p.GetArray()[0]
	}
	if p == nil || p.Type() != fastjson.TypeString {
		return badInput("prompt: want one string")
	}
	req.Prompt = string(p.GetStringBytes())
	return nil
}

func (req *Request) decodeMessages(m *fastjson.Value) *refuse.Refusal {
	if m == nil || m.Type() != fastjson.TypeArray || len(m.GetArray()) == 0 {
		return badInput("messages: want a list of at least one message")
	}
	var b strings.Builder
	for i, msg := range m.GetArray() {
		role := msg.GetStringBytes("role")
		if len(role) == 0 {
			return badInput("messages/%d/role: want a string", i)
		}
		text, ok := messageText(msg.Get("content"))
		if !ok {
			return badInput("messages/%d/content: want a string or a list of text parts", i)
		}
		b.Write(role)
		b.WriteString(": ")
		b.WriteString(text)
		b.WriteByte('\n')
	}
	req.Prompt = b.String()
	return nil
}

func messageText(v *fastjson.Value) (string, bool) {
	switch {
	case v == nil:
		return "", false
	case v.Type() == fastjson.TypeString:
		return string(v.GetStringBytes()), true
	case v.Type() != fastjson.TypeArray:
		return "", false
	}
	var b strings.Builder
	for _, part := range v.GetArray() {
		if string(part.GetStringBytes("type")) != "text" || !part.Exists("text") {
			return "", false
		}
		b.Write(part.GetStringBytes("text"))
	}
	return b.String(), true
}
