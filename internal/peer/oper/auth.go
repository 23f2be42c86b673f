package oper

import (
	"crypto/subtle"
	"strings"

	"github.com/valyala/fasthttp"

	"umberladder/internal/core/ident"
	"umberladder/internal/state/config"
)

// principal is the owner of an operators' key: the operators of the system or of
// one workspace.
type principal struct {
	isSystem    bool
	workspace   ident.Workspace // empty for the system's operators
	historyName string          // recorded in the history of settings changes
}

func (p *principal) mayAccess(path string) bool {
	return p.isSystem || path == config.WorkspacePath(p.workspace)
}

// authenticate returns the principal of the bearer key, or false if the key is
// missing or unknown.
func (s *Server) authenticate(ctx *fasthttp.RequestCtx) (principal, bool) {
	key, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if !ok || key == "" {
		return principal{}, false
	}
	h := config.HashKey(key)
	snap := s.settings.Load()
	if matchesAny(h, s.operators) || snap.System != nil && matchesAny(h, snap.System.Operators) {
		return principal{isSystem: true, historyName: "system-operator"}, true
	}
	for _, w := range snap.AllWorkspaces() {
		if matchesAny(h, w.Operators) {
			return principal{workspace: w.Name, historyName: "operator-of-" + string(w.Name)}, true
		}
	}
	return principal{}, false
}

// matchesAny reports whether h is in the list. It compares h with every element,
// each in constant time.
func matchesAny(h config.KeyHash, list []config.KeyHash) bool {
	found := 0
	for i := range list {
		found |= subtle.ConstantTimeCompare(h[:], list[i][:])
	}
	return found == 1
}
