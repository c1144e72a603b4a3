package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/anvilpoint/anvilpoint/chart"
	"github.com/anvilpoint/anvilpoint/internal/charts"
	"github.com/anvilpoint/anvilpoint/internal/link"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// departuresPerMessage bounds the size of a message with departures.
const departuresPerMessage = 256

func (c *control) initCatchUp(now time.Time) error {
	machine, err := chart.Bind(charts.Must("catch-up"), chart.Binding[*control]{
		Observe: func(c *control, t chart.Transition) {
			c.logger.Info().Str("from", t.From).Str("to", t.To).Str("event", t.Event).Msg("state of the catch-up with other entries changed")
		},
	})
	if err != nil {
		return err
	}
	c.catchUp = machine.New(now, c)
	return nil
}

// advanceCatchUp runs a step of the catch-up. If it ends with the step, what was read
// meanwhile is put in force.
func (c *control) advanceCatchUp(ctx context.Context, now time.Time, step func()) {
	if c.catchUp.Done() {
		return
	}
	if step(); !c.catchUp.Done() {
		return
	}
	c.publishRoutes(ctx)
	if c.registry.Synced() {
		c.publishServers(ctx)
	}
	c.checkConfigured(now)
}

// sendState tells another entry, which may have started from a copy of the store, what the
// store may have lost.
func (c *control) sendState(now time.Time, to *link.Link) {
	departures := c.registry.Departures(now)
	for len(departures) > 0 {
		n := min(len(departures), departuresPerMessage)
		to.Send(encodeDepartures(now, departures[:n]))
		departures = departures[n:]
	}
	to.Send(&message.StateSummary{Routes: c.version(), Complete: c.complete(), Address: c.address})
}

// handleSummary handles the end of what another entry knows. An entry that does not serve
// requests itself may know no more than the store.
func (c *control) handleSummary(ctx context.Context, now time.Time, from *link.Link, m *message.StateSummary) {
	if c.catchUp.Done() {
		// The catch-up may have ended before this entry could be reached.
		if m.Complete && m.Routes > c.version() {
			c.behindSince = now.Add(-pullDelay)
			c.pullRoutes(now, from, m.Routes)
		}
		return
	}
	if !m.Complete {
		c.startingEntries[m.Address] = true
		c.checkSeeds(ctx, now)
		return
	}
	c.routesToCatchUp = max(c.routesToCatchUp, m.Routes)
	if m.Routes > c.version() {
		c.catchUp.Fire(now, "behind")
		c.pullRoutes(now, from, m.Routes)
	}
	c.checkCaughtUp(ctx, now)
}

// checkSeeds ends the catch-up if all entries of the settings are starting, too: when all
// entries are restarted at once, none knows more than the store.
func (c *control) checkSeeds(ctx context.Context, now time.Time) {
	if slices.ContainsFunc(c.seeds, func(seed string) bool { return !c.startingEntries[seed] }) {
		return
	}
	c.advanceCatchUp(ctx, now, func() { c.catchUp.Fire(now, "noneKnows") })
}

// checkCaughtUp ends the catch-up once the routes are as new as those of the other entry.
func (c *control) checkCaughtUp(ctx context.Context, now time.Time) {
	if c.routesToCatchUp == 0 || c.version() < c.routesToCatchUp {
		return
	}
	c.advanceCatchUp(ctx, now, func() { c.catchUp.Fire(now, "told") })
}
