package edit

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"umberladder/internal/peer/store"
	"umberladder/internal/state/config"
	"umberladder/internal/state/quota"
	"umberladder/internal/state/syncer"
)

const (
	maxWriteAttempts = 4
	writeBackoff     = 200 * time.Millisecond
)

// Store is the part of the platform's key-value service that an Editor uses.
type Store interface {
	Get(ctx context.Context, path string) (store.Item, error)
	Put(ctx context.Context, path string, value []byte, want, lease uint64) (uint64, error)
}

// Follower puts the stored settings in force on this VM and notifies other VMs.
type Follower interface {
	// ApplyWritten puts a document in force that this VM has just written.
	ApplyWritten(d config.Document)
	// Refresh reads the store and applies the changes.
	Refresh(ctx context.Context) error
}

// Change is a change to a settings document by an operator.
type Change struct {
	ID          string // chosen by the operator; a change is applied at most once per id
	By          string // the operator
	Path        string
	BaseVersion uint64 // version that the operator read; 0: the document is new
	Body        []byte // empty: delete
	DryRun      bool
}

// Result is the result of an accepted change.
type Result struct {
	Version  uint64
	Diff     []string
	Warnings []string
}

// ConflictError is returned if the document's version is not the one that the
// change is based on.
type ConflictError struct {
	Path    string
	Version uint64
	By      string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s is at version %d by now, changed by %s", e.Path, e.Version, e.By)
}

// UnknownError is returned if it is not known yet whether the change took effect.
type UnknownError struct {
	ID string
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("whether change %s took effect can't be told yet; ask again with its id", e.ID)
}

// Editor applies changes to settings. It is safe for concurrent use.
type Editor struct {
	store    Store
	follower Follower
	inForce  func() *config.Snapshot
}

// New returns an Editor. inForce returns the settings in force on this VM.
func New(s Store, f Follower, inForce func() *config.Snapshot) *Editor {
	return &Editor{store: s, follower: f, inForce: inForce}
}

// Apply validates a change and writes it. It returns a *config.FieldError, a
// *ConflictError, an *UnknownError, or an error if the store is unavailable.
func (e *Editor) Apply(ctx context.Context, c Change) (Result, error) {
	if err := c.validate(); err != nil {
		return Result{}, trace.Wrap(err)
	}
	old, version, err := e.Read(ctx, c.Path)
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	if old.Has(c.ID) {
		return Result{Version: version}, nil
	}
	if version != c.BaseVersion {
		return Result{}, newConflict(c.Path, version, old)
	}
	res := Result{Version: version, Diff: Diff(old.Body, c.Body), Warnings: e.warnings(c, version)}
	if c.DryRun {
		return res, nil
	}
	next, err := c.encodeValue(old, res.Diff)
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	if res.Version, err = e.write(ctx, c, next); err != nil {
		return Result{}, trace.Wrap(err)
	}
	// The change is already in force on this VM, ahead of changes that others have
	// written in the meantime, so a failed Refresh is ignored.
	_ = e.follower.Refresh(ctx)
	return res, nil
}

func (c *Change) validate() error {
	if c.ID == "" {
		return trace.BadParameter("a change needs an id")
	}
	if len(c.Body) == 0 {
		if c.Path == config.SystemPath {
			return &config.FieldError{Want: "the system's document can't be deleted"}
		}
		_, err := config.WorkspaceFromPath(c.Path)
		return err
	}
	return config.Validate(c.Path, c.Body)
}

func (c *Change) encodeValue(old *syncer.Value, diff []string) ([]byte, error) {
	v := syncer.Value{Body: c.Body, Changes: append(old.Changes, syncer.Change{
		ID:     c.ID,
		By:     c.By,
		At:     time.Now(),
		Delete: len(c.Body) == 0,
		Diff:   diff,
	})}
	if n := len(v.Changes) - syncer.MaxChanges; n > 0 {
		v.Changes = v.Changes[n:]
	}
	return v.Encode()
}

// write retries the write until it is known whether the change took effect, or
// until maxWriteAttempts is reached.
func (e *Editor) write(ctx context.Context, c Change, value []byte) (uint64, error) {
	mayHaveApplied := false
	for attempt := range maxWriteAttempts {
		if attempt > 0 {
			time.Sleep(writeBackoff << attempt)
		}
		rev, err := e.store.Put(ctx, syncer.Prefix+c.Path, value, c.BaseVersion, 0)
		if err == nil {
			e.follower.ApplyWritten(config.Document{Path: c.Path, Version: rev, Body: c.Body})
			return rev, nil
		}
		if store.Is(err, store.OutcomeUnknown) {
			mayHaveApplied = true
		}
		if !mayHaveApplied && !store.Is(err, store.Conflict) {
			continue
		}
		if rev, known, err := e.checkOutcome(ctx, c); known {
			return rev, err
		}
	}
	if mayHaveApplied {
		return 0, &UnknownError{ID: c.ID}
	}
	return 0, trace.ConnectionProblem(nil, "the store takes no writes now; nothing was changed")
}

// checkOutcome reads the document to find out whether the change took effect, and
// reports whether that is known. It is not known while the document is unchanged,
// because a write in flight may still arrive; a retry of the write decides the
// outcome.
func (e *Editor) checkOutcome(ctx context.Context, c Change) (uint64, bool, error) {
	v, version, readErr := e.Read(ctx, c.Path)
	switch {
	case readErr != nil:
		return 0, false, nil //nolint:nilerr // a failed read settles nothing
	case v.Has(c.ID):
		return version, true, nil
	case version != c.BaseVersion:
		return 0, true, newConflict(c.Path, version, v)
	default:
		return 0, false, nil
	}
}

func newConflict(path string, version uint64, v *syncer.Value) error {
	e := &ConflictError{Path: path, Version: version}
	if n := len(v.Changes); n > 0 {
		e.By = v.Changes[n-1].By
	}
	return e
}

// Read returns the stored value at a settings path and its version, which is 0 if
// there is no value.
func (e *Editor) Read(ctx context.Context, path string) (*syncer.Value, uint64, error) {
	it, err := e.store.Get(ctx, syncer.Prefix+path)
	if store.Is(err, store.NotFound) {
		return &syncer.Value{}, 0, nil
	}
	if err != nil {
		return nil, 0, trace.Wrap(err)
	}
	v, err := syncer.DecodeValue(it.Value)
	return v, it.Revision, trace.Wrap(err)
}

// Status is the outcome of a change.
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

// ChangeStatus returns the outcome of a change. A change that is not in the
// document's history has not been applied if the document's version is later than
// the one that the change is based on. Otherwise a write in flight may still arrive.
func (e *Editor) ChangeStatus(ctx context.Context, path, id string, baseVersion uint64) Status {
	v, version, err := e.Read(ctx, path)
	switch {
	case err != nil:
		return Unknown
	case v.Has(id):
		return Applied
	case version > baseVersion:
		return NotApplied
	default:
		return Unknown
	}
}

// warnings returns the warnings of quota.Check, such as limits beyond the servers'
// capacity, for the settings with the change made to the document of the given version.
func (e *Editor) warnings(c Change, version uint64) []string {
	current := e.inForce()
	next, err := current.With(config.Document{Path: c.Path, Version: max(version, current.Revision) + 1, Body: c.Body})
	if err != nil {
		return nil
	}
	return quota.Check(next)
}

// IsConflict returns the ConflictError that err wraps, if any.
func IsConflict(err error) (*ConflictError, bool) {
	var e *ConflictError
	ok := errors.As(err, &e)
	return e, ok
}

// IsUnknown reports whether err wraps an UnknownError.
func IsUnknown(err error) bool {
	var e *UnknownError
	return errors.As(err, &e)
}
