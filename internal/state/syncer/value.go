package syncer

import (
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/gravitational/trace"

	"umberladder/internal/peer/store"
	"umberladder/internal/state/config"
)

// Prefix is the path prefix of the settings in the store.
const Prefix = "/settings"

// MaxChanges bounds the change history of a value.
const MaxChanges = 50

// Change records who changed a document, and when.
type Change struct {
	ID     string
	By     string
	At     time.Time
	Delete bool
	Diff   []string // members that changed, as JSON pointers
}

// Value is the stored form of a document: its body and its last changes, oldest
// first.
type Value struct {
	Body    []byte // empty: deleted
	Changes []Change
}

type changeWire struct {
	ID     string   `json:"id"`
	By     string   `json:"by"`
	At     string   `json:"at"`
	Delete bool     `json:"delete,omitzero"`
	Diff   []string `json:"diff,omitzero"`
}

type valueWire struct {
	Body    jsontext.Value `json:"body,omitzero"`
	Changes []changeWire   `json:"changes"`
}

// Encode returns the stored form of a value.
func (v *Value) Encode() ([]byte, error) {
	w := valueWire{Body: v.Body}
	for _, c := range v.Changes {
		w.Changes = append(w.Changes, changeWire{ID: c.ID, By: c.By, At: c.At.UTC().Format(time.RFC3339Nano), Delete: c.Delete, Diff: c.Diff})
	}
	out, err := json.Marshal(w)
	return out, trace.Wrap(err)
}

// DecodeValue parses the stored form of a value.
func DecodeValue(data []byte) (*Value, error) {
	var w valueWire
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, trace.BadParameter("the stored value can't be read: %s", err)
	}
	v := &Value{Body: w.Body}
	for _, c := range w.Changes {
		at, err := time.Parse(time.RFC3339Nano, c.At)
		if err != nil {
			return nil, trace.BadParameter("the stored value has the time %q", c.At)
		}
		v.Changes = append(v.Changes, Change{ID: c.ID, By: c.By, At: at, Delete: c.Delete, Diff: c.Diff})
	}
	return v, nil
}

// Has reports whether the change is in the value's history.
func (v *Value) Has(id string) bool {
	for _, c := range v.Changes {
		if c.ID == id {
			return true
		}
	}
	return false
}

// Decode turns a stored item into a document.
func Decode(it store.Item) (config.Document, error) {
	d := config.Document{Path: strings.TrimPrefix(it.Path, Prefix), Version: it.Revision}
	if it.Deleted {
		return d, nil
	}
	v, err := DecodeValue(it.Value)
	if err != nil {
		return d, trace.Wrap(err, "%s", d.Path)
	}
	d.Body = v.Body
	return d, nil
}
