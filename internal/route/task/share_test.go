package task

import (
	"testing"

	"gotest.tools/v3/assert"

	"umberladder/internal/route/pick"
	"umberladder/internal/state/routes"
)

// TestShareDetail guards against refusals that don't say why other calls preceded the refused one.
func TestShareDetail(t *testing.T) {
	five := 5
	a := &Task{Deps: Deps{Settings: routes.NewCurrent(nil)}, Route: &routes.Route{Priority: 1}}
	assert.Equal(t, a.ShareDetail(&pick.NoCapacityError{}), "")
	a.BindWorkspace(&routes.Workspace{Name: "w"})
	assert.Equal(t, a.ShareDetail(&pick.NoCapacityError{}), "; the call has priority 1")
	a.BindWorkspace(&routes.Workspace{Name: "w", Priority: &five})
	assert.Equal(t, a.ShareDetail(&pick.NoCapacityError{Ahead: 9, OwnAhead: 7, Share: 812}),
		"; the call has priority 5, workspace w got 81.2% of what was granted recently and has 7 calls that wait")
}
