// Package prompt formats and parses the prompts that specify what a fake engine
// produces, and checks generated text against them.
package prompt

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// defaultTokens is the number of tokens for a prompt that does not set one.
const defaultTokens = 16

// Spec is what a prompt specifies: the number of tokens, the seed of their
// text, and the tag under which the generation is recorded.
type Spec struct {
	Tokens int
	Seed   uint64
	Tag    string
}

// Parse reads the spec from a prompt. Words that are not part of a spec are
// ignored.
func Parse(prompt string) Spec {
	spec := Spec{Tokens: defaultTokens}
	for _, word := range strings.Fields(prompt) {
		name, value, ok := strings.Cut(word, "=")
		if !ok {
			continue
		}
		switch name {
		case "produce":
			if n, err := strconv.Atoi(value); err == nil && n > 0 {
				spec.Tokens = n
			}
		case "seed":
			if n, err := strconv.ParseUint(value, 10, 64); err == nil {
				spec.Seed = n
			}
		case "tag":
			spec.Tag = value
		}
	}
	return spec
}

// Prompt returns the prompt that specifies s.
func (s Spec) Prompt() string {
	return fmt.Sprintf("produce=%d seed=%d tag=%s", s.Tokens, s.Seed, s.Tag)
}

// Token returns the text of token i of a run. It consists of the index, a word
// derived from the seed, and the run ID, which differs between runs.
func (s Spec) Token(i int, runID string) string {
	var b [24]byte
	key := strconv.AppendUint(b[:0], s.Seed, 10)
	key = append(key, '/')
	key = strconv.AppendInt(key, int64(i), 10)
	return strconv.Itoa(i) + "." + strconv.FormatUint(xxhash.Sum64(key)&0xffff, 16) + "." + runID + " "
}

// CheckComplete returns an error unless text is the complete output for s from a
// single run.
func (s Spec) CheckComplete(text string) error {
	words := strings.Fields(text)
	if len(words) != s.Tokens {
		return fmt.Errorf("got %d tokens, want %d", len(words), s.Tokens)
	}
	return s.CheckPrefix(words)
}

// CheckPrefix returns an error unless words are the first tokens of the output
// for s from a single run.
func (s Spec) CheckPrefix(words []string) error {
	runID := ""
	for i, w := range words {
		dot := strings.LastIndexByte(w, '.')
		if dot < 0 {
			return fmt.Errorf("token %d is %q, which has no run ID", i, w)
		}
		if runID == "" {
			runID = w[dot+1:]
		}
		if want := strings.TrimSpace(s.Token(i, runID)); w != want {
			return fmt.Errorf("token %d is %q, want %q", i, w, want)
		}
	}
	return nil
}
