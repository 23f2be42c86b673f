// Package follow keeps what this VM believes in step with the platform's
// store: the settings in force and the backend servers.
//
// Each follower reads everything once and then waits for changes. After any
// failure it reads everything again, because a change may have passed unseen.
package follow
