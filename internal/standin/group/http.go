package group

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
	"github.com/anvilpoint/anvilpoint/internal/engine"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/standin"
	"github.com/anvilpoint/anvilpoint/task"
)

// maxBodyBytes bounds request bodies.
const maxBodyBytes = 8 << 20

// Handler serves the group interface of the engine of a rank: GET /v1/group and POST
// /v1/group/load, arm and release.
func (g *Group) Handler(rank ident.Rank) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			g.get(w, r, rank)
			return
		}
		g.post(w, r, rank)
	})
}

func (g *Group) get(w http.ResponseWriter, r *http.Request, rank ident.Rank) {
	state, ok := task.Ask(r.Context(), g.mailbox, func(reply chan<- engine.GroupState) request {
		return askState{rank: rank, detail: r.URL.Query().Get("detail") == "true", reply: reply}
	})
	if !ok {
		standin.WriteStopped(w)
		return
	}
	standin.WriteJSON(w, http.StatusOK, state)
}

func (g *Group) post(w http.ResponseWriter, r *http.Request, rank ident.Rank) {
	var body engine.GroupOrder
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
		standin.WriteError(w, http.StatusBadRequest, "decode group order: "+err.Error())
		return
	}
	order, problem := g.parseOrder(path.Base(r.URL.Path), body)
	if problem != "" {
		standin.WriteError(w, http.StatusBadRequest, problem)
		return
	}
	if order.Kind == expertmap.OrderLoad && !sleep(r.Context(), g.config.LoadTime) {
		return
	}
	answer, ok := task.Ask(r.Context(), g.mailbox, func(reply chan<- engine.GroupAnswer) request {
		return submitOrder{rank: rank, order: order, reply: reply}
	})
	switch {
	case !ok:
		standin.WriteStopped(w)
	case answer.Refused != "":
		standin.WriteJSON(w, http.StatusConflict, answer)
	default:
		standin.WriteJSON(w, http.StatusOK, answer)
	}
}

// sleep waits for a time and returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// parseOrder returns the order of a call, or what is wrong with it.
func (g *Group) parseOrder(call string, b engine.GroupOrder) (expertmap.Order, string) {
	o := expertmap.Order{Token: b.Token, Step: b.Step, RunEpoch: b.RunEpoch}
	switch {
	case call == "load":
		o.Kind = expertmap.OrderLoad
		o.Map = &expertmap.Map{Layers: b.Map}
		return o, g.validateMap(b.Map)
	case call == "arm" && b.Step == 0:
		o.Kind = expertmap.OrderHold
	case call == "arm":
		o.Kind = expertmap.OrderArm
	case call == "release":
		o.Kind = expertmap.OrderRelease
	default:
		return o, fmt.Sprintf("unknown call %q; the calls are load, arm and release", call)
	}
	return o, ""
}

// validateMap returns why the group cannot run a map, or an empty string.
func (g *Group) validateMap(layers []expertmap.Layer) string {
	if len(layers) != g.config.Layers {
		return fmt.Sprintf("the map has %d layers, not %d", len(layers), g.config.Layers)
	}
	for l, layer := range layers {
		if len(layer) != len(g.config.ChecksFencing) {
			return fmt.Sprintf("layer %d of the map has %d ranks, not %d", l, len(layer), len(g.config.ChecksFencing))
		}
		placed := make([]bool, g.config.Experts)
		for _, slots := range layer {
			for _, e := range slots {
				if int(e) >= len(placed) {
					return fmt.Sprintf("layer %d of the map has expert %d, but the group has %d experts", l, e, g.config.Experts)
				}
				placed[e] = true
			}
		}
		for e, isPlaced := range placed {
			if !isPlaced {
				return fmt.Sprintf("layer %d of the map has no slot for expert %d", l, e)
			}
		}
	}
	return ""
}
