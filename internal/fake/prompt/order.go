// Package prompt writes and reads the prompts that tell a stand-in engine what
// to produce, and checks answers against them.
package prompt

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// defaultTokens is what a prompt without an order gets.
const defaultTokens = 16

// Order is what a stand-in prompt asks for.
type Order struct {
	Tokens int
	Seed   uint64
	Tag    string
}

// Parse reads an order out of a prompt. Words that are no order are
// prompt text.
func Parse(prompt string) Order {
	o := Order{Tokens: defaultTokens}
	for _, word := range strings.Fields(prompt) {
		name, value, ok := strings.Cut(word, "=")
		if !ok {
			continue
		}
		switch name {
		case "produce":
			if n, err := strconv.Atoi(value); err == nil && n > 0 {
				o.Tokens = n
			}
		case "seed":
			if n, err := strconv.ParseUint(value, 10, 64); err == nil {
				o.Seed = n
			}
		case "tag":
			o.Tag = value
		}
	}
	return o
}

// Prompt returns the prompt that orders o.
func (o Order) Prompt() string {
	return fmt.Sprintf("produce=%d seed=%d tag=%s", o.Tokens, o.Seed, o.Tag)
}

// Text returns token i of a run: its index, a word that follows from the
// seed, and the run's mark, which differs between any two runs.
func (o Order) Text(i int, run string) string {
	var b [24]byte
	s := strconv.AppendUint(b[:0], o.Seed, 10)
	s = append(s, '/')
	s = strconv.AppendInt(s, int64(i), 10)
	return strconv.Itoa(i) + "." + strconv.FormatUint(xxhash.Sum64(s)&0xffff, 16) + "." + run + " "
}

// CheckText reports whether text is the whole answer to o from one run.
func (o Order) CheckText(text string) error {
	words := strings.Fields(text)
	if len(words) != o.Tokens {
		return fmt.Errorf("%d tokens in place of %d", len(words), o.Tokens)
	}
	return o.CheckPrefix(words)
}

// CheckPrefix reports whether words are the first tokens of an answer to o
// from one run.
func (o Order) CheckPrefix(words []string) error {
	run := ""
	for i, w := range words {
		at := strings.LastIndexByte(w, '.')
		if at < 0 {
			return fmt.Errorf("token %d is %q", i, w)
		}
		if run == "" {
			run = w[at+1:]
		}
		if want := strings.TrimSpace(o.Text(i, run)); w != want {
			return fmt.Errorf("token %d is %q in place of %q", i, w, want)
		}
	}
	return nil
}
