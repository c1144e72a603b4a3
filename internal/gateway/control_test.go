package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/record"
)

// Guards against entries that pull routes from each other although the store is about
// to deliver them: a document with many routes has half a megabyte, and during a
// series of changes these pulls were most of the traffic between failure domains.
func TestRoutesArePulledOnlyWhenTheStoreIsLate(t *testing.T) {
	c, err := newControl(testStart, time.Second)
	must.NoError(t, err)
	must.True(t, c.shouldPull(testStart, 3), must.Sprint("an entry without routes pulls at once"))
	must.False(t, c.shouldPull(testStart.Add(minPullInterval/2), 3), must.Sprint("one pull at a time"))
	c.routes, err = record.NewRoutes(record.RouteSpec{Version: 3})
	must.NoError(t, err)
	at := testStart.Add(time.Minute)
	must.False(t, c.shouldPull(at, 3))
	must.False(t, c.shouldPull(at, 4))
	must.False(t, c.shouldPull(at.Add(pullDelay/2), 5))
	must.True(t, c.shouldPull(at.Add(pullDelay), 5))
	must.False(t, c.shouldPull(at.Add(pullDelay), 5))
	must.True(t, c.shouldPull(at.Add(pullDelay+minPullInterval), 5))
}
