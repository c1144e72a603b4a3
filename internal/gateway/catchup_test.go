package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/message"
)

// Guards against callers that are refused for a second after all entries were restarted at
// once: no entry can tell another more than the store holds.
func TestEntriesThatStartTogetherDoNotWaitForEachOther(t *testing.T) {
	c, err := newControl(testStart, time.Second)
	must.NoError(t, err)
	c.seeds = []string{"a", "b"}
	starting := func(address string) {
		c.handleSummary(context.Background(), testStart, nil, &message.StateSummary{Address: address})
	}
	starting("a")
	must.False(t, c.catchUp.Done())
	starting("other")
	must.False(t, c.catchUp.Done())
	starting("b")
	must.True(t, c.catchUp.Done())
}

// Guards against an entry that waits for others that do not exist, and against one that never
// serves because it can reach no other.
func TestCatchUpEnds(t *testing.T) {
	c, err := newControl(testStart, time.Second)
	must.NoError(t, err)
	c.seeds = []string{"a"}
	c.checkSeeds(context.Background(), testStart)
	must.False(t, c.catchUp.Done())
	c.advanceCatchUp(context.Background(), testStart.Add(time.Second), func() { c.catchUp.Tick(testStart.Add(time.Second)) })
	must.True(t, c.catchUp.Done())

	alone, err := newControl(testStart, time.Second)
	must.NoError(t, err)
	alone.checkSeeds(context.Background(), testStart)
	must.True(t, alone.catchUp.Done())
}
