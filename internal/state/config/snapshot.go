package config

import (
	"crypto/sha256"
	"maps"
	"strings"

	"github.com/gravitational/trace"

	"umberladder/internal/core/ident"
)

// The paths of the documents.
const (
	SystemPath      = "/system"
	WorkspacePrefix = "/workspaces/"
)

// Document is one stored settings value. Version is the store's revision of
// its last write. A deleted document has no body and keeps its version.
type Document struct {
	Path    string
	Version uint64
	Body    []byte
}

// Deleted reports whether the document was deleted.
func (d Document) Deleted() bool { return len(d.Body) == 0 }

// WorkspacePath returns the path of a workspace's document.
func WorkspacePath(name ident.Workspace) string {
	return WorkspacePrefix + string(name)
}

// Snapshot is every document in force on a VM. It is immutable: With returns
// another one. Versions only rise from one snapshot to the next.
type Snapshot struct {
	System     *System // nil until the system document is known
	Revision   uint64  // the highest version among the documents
	Documents  map[string]Document
	workspaces map[ident.Workspace]*Workspace
	callers    map[KeyHash]*Workspace
}

// New returns the empty snapshot.
func New() *Snapshot {
	return &Snapshot{
		Documents:  map[string]Document{},
		workspaces: map[ident.Workspace]*Workspace{},
		callers:    map[KeyHash]*Workspace{},
	}
}

// With returns the snapshot with d in force, or s itself if d is not newer
// than what it holds.
func (s *Snapshot) With(d Document) (*Snapshot, error) {
	if old, ok := s.Documents[d.Path]; ok && old.Version >= d.Version {
		return s, nil
	}
	n := &Snapshot{
		System:     s.System,
		Revision:   max(s.Revision, d.Version),
		Documents:  maps.Clone(s.Documents),
		workspaces: s.workspaces,
		callers:    s.callers,
	}
	n.Documents[d.Path] = d
	if err := n.parse(d); err != nil {
		return s, trace.Wrap(err)
	}
	return n, nil
}

func (s *Snapshot) parse(d Document) error {
	if d.Path == SystemPath {
		sys, err := ParseSystem(d.Body, d.Version)
		s.System = sys
		return err
	}
	name, err := WorkspaceOf(d.Path)
	if err != nil {
		return err
	}
	s.workspaces = maps.Clone(s.workspaces)
	delete(s.workspaces, name)
	if !d.Deleted() {
		w, err := ParseWorkspace(name, d.Body, d.Version)
		if err != nil {
			return err
		}
		s.workspaces[name] = w
	}
	s.index()
	return nil
}

func (s *Snapshot) index() {
	s.callers = make(map[KeyHash]*Workspace, len(s.workspaces))
	for _, w := range s.workspaces {
		for _, h := range w.Keys {
			s.callers[h] = w
		}
	}
}

// WorkspaceOf returns the workspace whose document has the path.
func WorkspaceOf(path string) (ident.Workspace, error) {
	name, ok := strings.CutPrefix(path, WorkspacePrefix)
	if !ok {
		return "", trace.BadParameter("%s is no settings path; want %s or %s<name>", path, SystemPath, WorkspacePrefix)
	}
	if err := ident.CheckName(name); err != nil {
		return "", trace.Wrap(err, "%s is no settings path", path)
	}
	return ident.Workspace(name), nil
}

// Workspace returns the named workspace, or nil.
func (s *Snapshot) Workspace(name ident.Workspace) *Workspace { return s.workspaces[name] }

// Workspaces returns how many workspaces there are.
func (s *Snapshot) Workspaces() int { return len(s.workspaces) }

// All returns every workspace, in no order.
func (s *Snapshot) All() []*Workspace {
	out := make([]*Workspace, 0, len(s.workspaces))
	for _, w := range s.workspaces {
		out = append(out, w)
	}
	return out
}

// Caller returns the workspace that a caller's bearer key opens, or nil. The
// look-up goes by the key's hash, so its time tells nothing of other keys.
func (s *Snapshot) Caller(key string) *Workspace {
	return s.callers[HashKey(key)]
}

// HashKey returns the hash that settings keep of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Check parses a document as it would be put in force, without doing so.
func Check(path string, body []byte) error {
	_, err := New().With(Document{Path: path, Version: 1, Body: body})
	return trace.Wrap(err)
}
