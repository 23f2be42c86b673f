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

// Document is one stored settings document. Version is the store's revision of
// its last write. A deleted document has no body; its version is that of the
// deletion.
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

// Snapshot contains every document in force on a VM. It is immutable: With and
// Merge return a new one. Versions never decrease from one snapshot to the next.
type Snapshot struct {
	System     *System // nil until the system document is known
	Revision   uint64  // every document up to this version is in force
	Ahead      uint64  // sum of the versions above Revision that are in force
	Documents  map[string]Document
	workspaces map[ident.Workspace]*Workspace
	byKey      map[KeyHash]*Workspace
}

// New returns the empty snapshot.
func New() *Snapshot {
	return &Snapshot{
		Documents:  map[string]Document{},
		workspaces: map[ident.Workspace]*Workspace{},
		byKey:      map[KeyHash]*Workspace{},
	}
}

// With returns the snapshot with those of docs in force that are newer, or s itself
// if nothing changes. docs must contain every document that changed after
// s.Revision, up to the highest version in docs. Documents that can't be parsed are
// omitted; the others are in force, and the first parse error is returned.
func (s *Snapshot) With(docs ...Document) (*Snapshot, error) {
	upTo := s.Revision
	for _, d := range docs {
		upTo = max(upTo, d.Version)
	}
	return s.Merge(upTo, docs...)
}

// Merge is like With, but docs need to contain every changed document only up to the
// version upTo. Documents with later versions are in force ahead of the revision.
// After an error the revision is that of the last document in docs up to upTo that is
// in force.
func (s *Snapshot) Merge(upTo uint64, docs ...Document) (*Snapshot, error) {
	n := s.clone()
	changed := false
	var first error
	for _, d := range docs {
		old, ok := n.Documents[d.Path]
		if !ok || old.Version < d.Version {
			if err := n.put(d); err != nil {
				if first == nil {
					first = trace.Wrap(err, "the document %s of version %d is not applied", d.Path, d.Version)
				}
				continue
			}
			changed = true
		}
		if d.Version <= upTo {
			n.Revision = max(n.Revision, d.Version)
		}
	}
	if first == nil {
		n.Revision = max(n.Revision, upTo)
	}
	if !changed && n.Revision == s.Revision {
		return s, first
	}
	n.rebuildIndexes()
	return n, first
}

func (s *Snapshot) clone() *Snapshot {
	return &Snapshot{
		System:     s.System,
		Revision:   s.Revision,
		Documents:  maps.Clone(s.Documents),
		workspaces: maps.Clone(s.workspaces),
	}
}

// put parses d and puts it in force. On an error s is unchanged.
func (s *Snapshot) put(d Document) error {
	if err := s.parse(d); err != nil {
		return err
	}
	s.Documents[d.Path] = d
	return nil
}

func (s *Snapshot) parse(d Document) error {
	if d.Path == SystemPath {
		sys, err := ParseSystem(d.Body, d.Version)
		if err != nil {
			return err
		}
		s.System = sys
		return nil
	}
	name, err := WorkspaceFromPath(d.Path)
	if err != nil {
		return err
	}
	if d.Deleted() {
		delete(s.workspaces, name)
		return nil
	}
	w, err := ParseWorkspace(name, d.Body, d.Version)
	if err != nil {
		return err
	}
	s.workspaces[name] = w
	return nil
}

// rebuildIndexes recomputes the fields derived from the documents.
func (s *Snapshot) rebuildIndexes() {
	s.byKey = make(map[KeyHash]*Workspace, len(s.workspaces))
	for _, w := range s.workspaces {
		for _, h := range w.Keys {
			s.byKey[h] = w
		}
	}
	s.Ahead = 0
	for _, d := range s.Documents {
		if d.Version > s.Revision {
			s.Ahead += d.Version
		}
	}
}

// WorkspaceFromPath returns the workspace whose document has the path.
func WorkspaceFromPath(path string) (ident.Workspace, error) {
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

// NumWorkspaces returns the number of workspaces.
func (s *Snapshot) NumWorkspaces() int { return len(s.workspaces) }

// AllWorkspaces returns every workspace, in no particular order.
func (s *Snapshot) AllWorkspaces() []*Workspace {
	out := make([]*Workspace, 0, len(s.workspaces))
	for _, w := range s.workspaces {
		out = append(out, w)
	}
	return out
}

// WorkspaceByKey returns the workspace that a client's bearer key belongs to, or nil.
// The lookup uses the key's hash, so its duration reveals nothing about other keys.
func (s *Snapshot) WorkspaceByKey(key string) *Workspace {
	return s.byKey[HashKey(key)]
}

// HashKey returns the hash under which settings store a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Validate parses a document without putting it in force.
func Validate(path string, body []byte) error {
	_, err := New().With(Document{Path: path, Version: 1, Body: body})
	return trace.Wrap(err)
}
