// Package poison detects what makes backend servers crash, and quarantines it: a request as a
// whole, or a part that prompts share.
//
// A server's crash is evidence against each suspect of every request to which the server had
// only just begun to respond: the request itself and all parts of its prompt but the last. A
// response that gets past this point is a pass, which counts in favour of all its suspects.
// Evidence is a set: VMs merge each other's evidence, in any order and over any path, and come
// to the same decisions.
//
// Many suspects share each crash. The one with the most evidence against it is quarantined
// once that evidence reaches a limit, and crashes that it explains no longer count against
// others. Among equals, it is the most specific one: a request rather than a part, and a later
// part rather than one before it, because fewer requests share it. A quarantine that the
// evidence no longer supports ends.
package poison
