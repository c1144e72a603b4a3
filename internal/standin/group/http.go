package group

import (
	"context"
	"encoding/json"
	"net/http"
	"path"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/decide/expertmap"
	"github.com/anvilpoint/anvilpoint/internal/engine"
	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/standin"
	"github.com/anvilpoint/anvilpoint/task"
)

const maxBodyBytes = 8 << 20

// Handler serves a rank's engine interface: GET /v1/group and POST
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
		standin.Stopped(w)
		return
	}
	standin.WriteJSON(w, http.StatusOK, state)
}

func (g *Group) post(w http.ResponseWriter, r *http.Request, rank ident.Rank) {
	var body engine.GroupOrder
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
		standin.Refuse(w, http.StatusBadRequest, "the body is not a group order: "+err.Error())
		return
	}
	order, fault := g.order(path.Base(r.URL.Path), body)
	if fault != "" {
		standin.Refuse(w, http.StatusBadRequest, fault)
		return
	}
	if order.Kind == expertmap.OrderLoad && !wait(r.Context(), g.config.LoadTime) {
		return
	}
	answer, ok := task.Ask(r.Context(), g.mailbox, func(reply chan<- engine.GroupAnswer) request {
		return giveOrder{rank: rank, order: order, reply: reply}
	})
	switch {
	case !ok:
		standin.Stopped(w)
	case answer.Refused != "":
		standin.WriteJSON(w, http.StatusConflict, answer)
	default:
		standin.WriteJSON(w, http.StatusOK, answer)
	}
}

// wait reports whether the time passed before the context ended.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// order turns a call into an order, or says what is wrong with it.
func (g *Group) order(call string, b engine.GroupOrder) (expertmap.Order, string) {
	o := expertmap.Order{Token: b.Token, Step: b.Step, RunEpoch: b.RunEpoch}
	switch {
	case call == "load":
		o.Kind = expertmap.OrderLoad
		o.Map = &expertmap.Map{Layers: b.Map}
		return o, g.shape(b.Map)
	case call == "arm" && b.Step == 0:
		o.Kind = expertmap.OrderHold
	case call == "arm":
		o.Kind = expertmap.OrderArm
	case call == "release":
		o.Kind = expertmap.OrderRelease
	default:
		return o, "the calls are load, arm and release"
	}
	return o, ""
}

// shape refuses a map that the group cannot run.
func (g *Group) shape(layers []expertmap.Layer) string {
	if len(layers) != g.config.Layers {
		return "the map has another number of layers"
	}
	for _, layer := range layers {
		if len(layer) != len(g.config.ChecksFencing) {
			return "the map has another number of ranks"
		}
		held := make([]bool, g.config.Experts)
		for _, slots := range layer {
			for _, e := range slots {
				if int(e) >= len(held) {
					return "the map names an expert that does not exist"
				}
				held[e] = true
			}
		}
		for _, h := range held {
			if !h {
				return "the map leaves out an expert"
			}
		}
	}
	return ""
}
