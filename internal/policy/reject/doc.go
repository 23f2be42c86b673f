// Package reject tracks the services whose servers fail if they have to reject too many
// requests for lack of room.
package reject
