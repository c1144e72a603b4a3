package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"reflect"
	"slices"
	"sync"
	"time"
)

const (
	// passTime is the time of one pass of the group.
	passTime = 40 * time.Millisecond
	// copyTime is how long a rank copies one expert: expertMb over linkMbps.
	copyTime = 111 * time.Millisecond
	// noAnswerTime is how long the channel of an order without an answer stays open.
	noAnswerTime = 5 * time.Second

	groupRanks   = 6
	groupExperts = 12
	rankExperts  = 4
	spareExperts = 2
	groupEpoch   = 1
)

// expertMap names the experts, by set and rank.
type expertMap [][][]int

// group is a group of model replicas that begin each pass together. It always has requests.
// Its replicas follow the page, in one layer set and one formation that never breaks.
type group struct {
	world   *world
	service string
	ranks   []*engine

	mutex sync.Mutex
	step  uint64
	// waits reports whether the next pass is due and held.
	waits bool
	// mixed describes the first pass that two ranks began with different maps.
	mixed    string
	switches int
	orders   int
	// hot is the expert that is chosen most often.
	hot int
	// late reports whether an order gets no answer and is not carried out now. Done is called
	// after an order was carried out. Both run with the mutex locked and may be nil.
	late func(rank int, o engineOrder) bool
	done func(rank int, o engineOrder)
}

// engine is the replica of one rank.
type engine struct {
	group   *group
	rank    int
	address string
	counts  []uint64
	maps    map[uint64]expertMap
	// prepared is zero until the copy is complete.
	version, prepared, armed, highest uint64
	armedStep, held                   uint64
}

type engineOrder struct {
	Op      string    `json:"op"`
	Epoch   uint64    `json:"epoch"`
	Version uint64    `json:"version"`
	Step    uint64    `json:"step"`
	Map     expertMap `json:"map"`
}

// newGroup starts the replicas, each at a host of its own, and writes their entries.
func (w *world) newGroup(s *store, service string) (*group, error) {
	g := &group{world: w, service: service}
	first := expertMap{make([][]int, groupRanks)}
	for e := range groupExperts {
		first[0][e%groupRanks] = append(first[0][e%groupRanks], e)
	}
	for r := range groupRanks {
		l, err := net.Listen("tcp", freeAddress())
		if err != nil {
			return nil, err
		}
		e := &engine{group: g, rank: r, address: l.Addr().String(), counts: make([]uint64, groupExperts), maps: map[uint64]expertMap{0: first}}
		g.ranks = append(g.ranks, e)
		mux := http.NewServeMux()
		mux.HandleFunc("GET "+name("engine-report"), e.report)
		mux.HandleFunc("GET "+name("engine-picked"), e.picked)
		mux.HandleFunc("POST "+name("engine-order"), e.take)
		go func() { _ = http.Serve(l, mux) }()
		s.put(fmt.Sprintf("servers/i-%d", r), map[string]any{
			"service": service, "address": e.address, "zone": "z1", "version": "v1", "slots": 12, "state": "ready",
			"coldRemainingMs": 0, "sequence": 1, "born": w.begin.UnixMilli(),
		})
	}
	go func() {
		for range time.Tick(passTime) {
			g.mutex.Lock()
			g.beginPass()
			g.mutex.Unlock()
		}
	}()
	return g, nil
}

// document describes the service in a configuration.
func (g *group) document() map[string]any {
	return map[string]any{
		"name": g.service, "healthPath": "/health", "maxConnections": 656, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 12, "stride": 4, "step_ms": 4.55, "per_seq_ms": 0.905, "read_per_s": 61400.0, "linkMbps": 180000.0, "expertMb": 2500.0,
			"sets": 1, "experts": groupExperts, "placements": rankExperts, "spare": spareExperts, "expertShare": 0.85, "form_ms": 600.0,
		},
	}
}

// beginPass begins the next pass unless a rank is held before it.
func (g *group) beginPass() {
	g.waits = slices.ContainsFunc(g.ranks, func(e *engine) bool { return e.held == g.step+1 })
	if g.waits {
		return
	}
	g.step++
	switched := false
	for _, e := range g.ranks {
		if e.armed != 0 && e.armedStep <= g.step {
			e.version, e.armed, e.prepared, switched = e.armed, 0, 0, true
		}
		for x := range e.counts {
			e.counts[x] += 100
		}
		e.counts[g.hot] += 3000
	}
	var versions []uint64
	same := true
	for _, e := range g.ranks {
		versions = append(versions, e.version)
		same = same && e.version == g.ranks[0].version && reflect.DeepEqual(e.maps[e.version], g.ranks[0].maps[g.ranks[0].version])
	}
	if switched {
		g.switches++
		g.world.note("pass %d begins with map versions %v", g.step, versions)
	}
	if !same && g.mixed == "" {
		g.mixed = fmt.Sprintf("pass %d began with map versions %v at ranks 0 to %d", g.step, versions, groupRanks-1)
		g.world.note("%s", g.mixed)
	}
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	g := e.group
	g.mutex.Lock()
	answer := map[string]any{
		"stage": "unified", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "isBusy": false, "sequence": g.orders,
		"waiting": 0, "running": 6, "kvUsed": 41000, "kvTotal": 280000, "handles": 0, "pace": 1, "size": groupRanks,
		"group": map[string]any{"name": "g", "epoch": groupEpoch, "rank": e.rank, "state": "open"},
		"step":  g.step, "map": e.version, "isPrepared": e.prepared, "isArmed": e.armed, "held": e.held, "born": g.world.begin.UnixMilli(),
	}
	g.mutex.Unlock()
	writeJSON(w, answer)
}

func (e *engine) picked(w http.ResponseWriter, r *http.Request) {
	g := e.group
	g.mutex.Lock()
	answer := map[string]any{"step": g.step, "epoch": groupEpoch, "counts": slices.Clone(e.counts), "born": g.world.begin.UnixMilli()}
	if r.URL.Query().Has("lists") {
		answer = map[string]any{"map": map[string]any{"version": e.version, "experts": [][]int{e.maps[e.version][0][e.rank]}}}
	}
	g.mutex.Unlock()
	writeJSON(w, answer)
}

// take takes an order.
func (e *engine) take(w http.ResponseWriter, r *http.Request) {
	var o engineOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g := e.group
	g.mutex.Lock()
	g.orders++
	if g.late != nil && g.late(e.rank, o) {
		g.mutex.Unlock()
		select {
		case <-r.Context().Done():
		case <-time.After(noAnswerTime):
		}
		panic(http.ErrAbortHandler)
	}
	status := g.carryOut(e.rank, o)
	g.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write([]byte("{}"))
}

// carryOut carries out an order and returns the status of the answer.
func (g *group) carryOut(rank int, o engineOrder) int {
	status := g.ranks[rank].carryOut(o)
	g.world.note("rank %d: order %s, version %d, step %d: %d; last pass %d", rank, o.Op, o.Version, o.Step, status, g.step)
	if g.waits {
		g.beginPass()
	}
	if g.done != nil && status < 300 {
		g.done(rank, o)
	}
	return status
}

func (e *engine) carryOut(o engineOrder) int {
	g := e.group
	if o.Epoch != groupEpoch {
		return http.StatusConflict
	}
	switch o.Op {
	case "prepare":
		fresh := e.newExperts(o.Map)
		if o.Version <= e.highest || e.armed != 0 || fresh < 0 || fresh > spareExperts {
			return http.StatusConflict
		}
		e.highest, e.prepared, e.maps[o.Version] = o.Version, 0, o.Map
		time.AfterFunc(time.Duration(fresh)*copyTime, func() {
			g.mutex.Lock()
			defer g.mutex.Unlock()
			if e.highest == o.Version {
				e.prepared = o.Version
			}
		})
		return http.StatusAccepted
	case "arm":
		switch {
		case e.armed == o.Version && e.armedStep == o.Step:
			return http.StatusOK
		case o.Version == 0 || e.prepared != o.Version || e.armed != 0 || o.Step <= g.step:
			return http.StatusConflict
		}
		e.armed, e.armedStep = o.Version, o.Step
	case "disarm":
		if o.Version == e.version {
			return http.StatusConflict
		}
		if e.armed == o.Version {
			e.armed = 0
		}
	case "hold":
		if o.Step <= g.step || e.held != 0 && e.held != o.Step {
			return http.StatusConflict
		}
		e.held = o.Step
	case "go":
		if e.held == o.Step {
			e.held = 0
		}
	default:
		return http.StatusBadRequest
	}
	return http.StatusOK
}

// newExperts returns how many experts of a map are new to the rank, or -1 if the map is not
// acceptable.
func (e *engine) newExperts(m expertMap) int {
	if len(m) != 1 || len(m[0]) != groupRanks || len(m[0][e.rank]) > rankExperts {
		return -1
	}
	fresh := 0
	for _, x := range m[0][e.rank] {
		if !slices.Contains(e.maps[e.version][0][e.rank], x) {
			fresh++
		}
	}
	return fresh
}
