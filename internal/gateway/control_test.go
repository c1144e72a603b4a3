package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/record"
)

// Guards against entries that all ask each other for routes that the store is about
// to deliver: a document with many routes has half a megabyte, and a series of
// changes made most of the bytes between failure domains on scale-1 of
// tfl-biogas-grown.
func TestRoutesArePulledOnlyWhenTheStoreIsLate(t *testing.T) {
	c, err := newControl(waitStart, time.Second)
	must.NoError(t, err)
	must.True(t, c.lagging(waitStart, 3), must.Sprint("an entry without routes asks at once"))
	must.False(t, c.lagging(waitStart.Add(pullAgain/2), 3), must.Sprint("one answer at a time"))
	c.routes, err = record.NewRoutes(record.RouteSpec{Version: 3})
	must.NoError(t, err)
	at := waitStart.Add(time.Minute)
	must.False(t, c.lagging(at, 3))
	must.False(t, c.lagging(at, 4))
	must.False(t, c.lagging(at.Add(pullAfter/2), 5))
	must.True(t, c.lagging(at.Add(pullAfter), 5))
	must.False(t, c.lagging(at.Add(pullAfter), 5))
	must.True(t, c.lagging(at.Add(pullAfter+pullAgain), 5))
}
