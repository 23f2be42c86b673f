package oper

import (
	"crypto/subtle"
	"strings"

	"github.com/valyala/fasthttp"

	"umberladder/internal/core/ident"
	"umberladder/internal/state/config"
)

// access is what a key opens.
type access struct {
	system    bool
	workspace ident.Workspace // of a team's key
	name      string          // for the history
}

func (a *access) opens(path string) bool {
	return a.system || path == config.WorkspacePath(a.workspace)
}

// access finds what the bearer key opens; false if it opens nothing.
func (s *Server) access(ctx *fasthttp.RequestCtx) (access, bool) {
	key, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if !ok || key == "" {
		return access{}, false
	}
	h := config.HashKey(key)
	snap := s.settings.Load()
	if matches(h, s.operators) || snap.System != nil && matches(h, snap.System.Operators) {
		return access{system: true, name: "system-operator"}, true
	}
	for _, w := range snap.All() {
		if matches(h, w.Operators) {
			return access{workspace: w.Name, name: "operator-of-" + string(w.Name)}, true
		}
	}
	return access{}, false
}

// matches compares with every hash, in constant time for each.
func matches(h config.KeyHash, list []config.KeyHash) bool {
	found := 0
	for i := range list {
		found |= subtle.ConstantTimeCompare(h[:], list[i][:])
	}
	return found == 1
}
