package amend

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"umberladder/internal/peer/store"
	"umberladder/internal/state/config"
	"umberladder/internal/state/quota"
	"umberladder/internal/state/spread"
)

const (
	writeTries = 4
	writePause = 200 * time.Millisecond
)

// Store is what changes need of the platform's key-value service.
type Store interface {
	Get(ctx context.Context, path string) (store.Item, error)
	Put(ctx context.Context, path string, value []byte, want, lease uint64) (uint64, error)
}

// Follower puts what the store holds in force on this VM and tells others.
type Follower interface {
	// Accepted is told a document that this VM has just written.
	Accepted(d config.Document)
	Refresh(ctx context.Context) error
}

// Change is one operator's change.
type Change struct {
	ID     string // chosen by the operator; the same id is applied once
	By     string // who
	Path   string
	Want   uint64 // the version the operator read; 0: the document is new
	Body   []byte // empty: delete
	DryRun bool
}

// Result is what became of an accepted change.
type Result struct {
	Version  uint64
	Diff     []string
	Warnings []string
}

// ConflictError says that the document has another version by now.
type ConflictError struct {
	Path    string
	Version uint64
	By      string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s is at version %d by now, changed by %s", e.Path, e.Version, e.By)
}

// UnknownError says that nobody can tell yet whether the change took effect.
type UnknownError struct {
	ID string
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("whether change %s took effect can't be told yet; ask again with its id", e.ID)
}

// Amender accepts changes. It is safe for use by several goroutines.
type Amender struct {
	store    Store
	follower Follower
	inForce  func() *config.Snapshot
}

// New makes an amender. inForce returns the settings in force on this VM.
func New(s Store, f Follower, inForce func() *config.Snapshot) *Amender {
	return &Amender{store: s, follower: f, inForce: inForce}
}

// Apply checks a change and writes it. Its errors are a *config.FieldError, a
// *ConflictError, an *UnknownError, or that the store is down.
func (a *Amender) Apply(ctx context.Context, c Change) (Result, error) {
	if err := c.check(); err != nil {
		return Result{}, trace.Wrap(err)
	}
	old, version, err := a.Read(ctx, c.Path)
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	if old.Has(c.ID) {
		return Result{Version: version}, nil
	}
	if version != c.Want {
		return Result{}, conflict(c.Path, version, old)
	}
	res := Result{Version: version, Diff: Diff(old.Body, c.Body), Warnings: a.warnings(c, version)}
	if c.DryRun {
		return res, nil
	}
	next, err := c.value(old, res.Diff)
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	if res.Version, err = a.write(ctx, c, next); err != nil {
		return Result{}, trace.Wrap(err)
	}
	// It is in force here already, ahead of what others wrote meanwhile.
	_ = a.follower.Refresh(ctx)
	return res, nil
}

func (c *Change) check() error {
	if c.ID == "" {
		return trace.BadParameter("a change needs an id")
	}
	if len(c.Body) == 0 {
		if c.Path == config.SystemPath {
			return &config.FieldError{Want: "the system's document can't be deleted"}
		}
		_, err := config.WorkspaceOf(c.Path)
		return err
	}
	return config.Check(c.Path, c.Body)
}

func (c *Change) value(old *spread.Value, diff []string) ([]byte, error) {
	v := spread.Value{Body: c.Body, Changes: append(old.Changes, spread.Change{
		ID:     c.ID,
		By:     c.By,
		At:     time.Now(),
		Delete: len(c.Body) == 0,
		Diff:   diff,
	})}
	if n := len(v.Changes) - spread.MaxChanges; n > 0 {
		v.Changes = v.Changes[n:]
	}
	return v.Encode()
}

// write sends the change until it is known to have taken effect, to have come
// too late, or not to be known.
func (a *Amender) write(ctx context.Context, c Change, value []byte) (uint64, error) {
	sent := false
	for try := range writeTries {
		if try > 0 {
			time.Sleep(writePause << try)
		}
		rev, err := a.store.Put(ctx, spread.Prefix+c.Path, value, c.Want, 0)
		if err == nil {
			a.follower.Accepted(config.Document{Path: c.Path, Version: rev, Body: c.Body})
			return rev, nil
		}
		if store.Is(err, store.Unknown) {
			sent = true
		}
		if !sent && !store.Is(err, store.Conflict) {
			continue
		}
		if rev, settled, err := a.settle(ctx, c); settled {
			return rev, err
		}
	}
	if sent {
		return 0, &UnknownError{ID: c.ID}
	}
	return 0, trace.ConnectionProblem(nil, "the store takes no writes now; nothing was changed")
}

// settle reads whether the change took effect. It is not settled while the
// document is unchanged: a write under way may still arrive, and sending the
// same one again decides it.
func (a *Amender) settle(ctx context.Context, c Change) (uint64, bool, error) {
	v, version, readErr := a.Read(ctx, c.Path)
	switch {
	case readErr != nil:
		return 0, false, nil //nolint:nilerr // a failed read settles nothing
	case v.Has(c.ID):
		return version, true, nil
	case version != c.Want:
		return 0, true, conflict(c.Path, version, v)
	default:
		return 0, false, nil
	}
}

func conflict(path string, version uint64, v *spread.Value) error {
	e := &ConflictError{Path: path, Version: version}
	if n := len(v.Changes); n > 0 {
		e.By = v.Changes[n-1].By
	}
	return e
}

// Read returns the stored value at a settings path and its version; a path
// without one has version 0.
func (a *Amender) Read(ctx context.Context, path string) (*spread.Value, uint64, error) {
	it, err := a.store.Get(ctx, spread.Prefix+path)
	if store.Is(err, store.Missing) {
		return &spread.Value{}, 0, nil
	}
	if err != nil {
		return nil, 0, trace.Wrap(err)
	}
	v, err := spread.DecodeValue(it.Value)
	return v, it.Revision, trace.Wrap(err)
}

// Status says what became of a change.
type Status uint8

// The statuses of a change.
const (
	Applied Status = iota
	NotApplied
	Unknown
)

func (s Status) String() string {
	return [...]string{"applied", "not-applied", "unknown"}[s]
}

// Ask tells what became of a change. One that is not there was not applied
// once the document has moved past the version it wanted; until then a write
// under way could still arrive.
func (a *Amender) Ask(ctx context.Context, path, id string, want uint64) Status {
	v, version, err := a.Read(ctx, path)
	switch {
	case err != nil:
		return Unknown
	case v.Has(id):
		return Applied
	case version > want:
		return NotApplied
	default:
		return Unknown
	}
}

// warnings names what the settings would promise beyond what there is, with the
// change made to the document of the given version.
func (a *Amender) warnings(c Change, version uint64) []string {
	now := a.inForce()
	then, err := now.With(config.Document{Path: c.Path, Version: max(version, now.Revision) + 1, Body: c.Body})
	if err != nil {
		return nil
	}
	return quota.Check(then)
}

// IsConflict returns the conflict behind err, if it is one.
func IsConflict(err error) (*ConflictError, bool) {
	var e *ConflictError
	ok := errors.As(err, &e)
	return e, ok
}

// IsUnknown reports whether err says that the outcome is not known.
func IsUnknown(err error) bool {
	var e *UnknownError
	return errors.As(err, &e)
}
