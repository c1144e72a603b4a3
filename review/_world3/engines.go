package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	passTime = 20 * time.Millisecond
	copyTime = 60 * time.Millisecond
	// lateTime is how long an order that gets no answer waits until it is carried out.
	lateTime = 4 * time.Second
	experts  = 12
	spare    = 2
)

// engineGroup stands in for the model engines of one group with one set of layers.
type engineGroup struct {
	mu      sync.Mutex
	record  *record
	pass    uint64
	engines []*engine
	hot     int
	// broken counts the passes that began with different maps, changes the maps in use.
	broken, changes int
	// late counts the orders that got no answer and were carried out late, answers all
	// answers of the engines, extra the second copies.
	late, orders, answers, extra int
}

type engine struct {
	group                             *engineGroup
	rank                              int
	address                           string
	version, prepared, armed, highest uint64
	copying                           uint64
	armedPass, held                   uint64
	counts                            []uint64
	maps                              map[uint64][][][]int
	// faulty engines leave the next arm order unanswered, carry it out late, and send a second
	// copy of an earlier answer late.
	faulty bool
}

func newEngineGroup(r *record, hosts []string) *engineGroup {
	g := &engineGroup{record: r}
	first := [][][]int{make([][]int, len(hosts))}
	for x := range experts {
		first[0][x%len(hosts)] = append(first[0][x%len(hosts)], x)
	}
	for rank, host := range hosts {
		e := &engine{group: g, rank: rank, counts: make([]uint64, experts), maps: map[uint64][][][]int{0: first}}
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		check(err)
		e.address = l.Addr().String()
		g.engines = append(g.engines, e)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go e.serve(c)
			}
		}()
	}
	go func() {
		for range time.Tick(passTime) {
			g.beginPass()
		}
	}()
	return g
}

func (g *engineGroup) beginPass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.engines {
		if e.held == g.pass+1 {
			return
		}
	}
	g.pass++
	for _, e := range g.engines {
		if e.armed != 0 && e.armedPass == g.pass {
			e.version, e.armed, e.prepared = e.armed, 0, 0
			if e.rank == 0 {
				g.changes++
				g.record.printf("pass %d: rank 0 uses map %d", g.pass, e.version)
			}
		}
		for x := range e.counts {
			e.counts[x] += 100
		}
		e.counts[g.hot] += 3000
	}
	for _, e := range g.engines {
		if e.version != g.engines[0].version {
			if g.broken%20 == 0 {
				g.record.printf("pass %d begins with map %d at rank 0 and map %d at rank %d", g.pass, g.engines[0].version, e.version, e.rank)
			}
			g.broken++
			return
		}
	}
}

// serve serves one connection.
func (e *engine) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	var last []byte
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		var o order
		if r.Method == http.MethodPost {
			if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
				return
			}
		}
		_ = r.Body.Close()
		e.group.mu.Lock()
		if r.Method == http.MethodPost {
			e.group.orders++
		}
		lost := e.faulty && o.Op == "arm" && last != nil
		var answer []byte
		if lost {
			e.faulty = false
			e.group.late++
			e.group.extra++
			e.group.record.printf("rank %d gets the order to arm map %d for pass %d, gives no answer, and will carry it out in %s; a second copy of its last answer on the connection arrives", e.rank, o.Version, o.Step, lateTime)
			time.AfterFunc(lateTime, func() {
				e.group.mu.Lock()
				defer e.group.mu.Unlock()
				e.group.record.printf("rank %d carries out the late order to arm map %d: status %d", e.rank, o.Version, e.carryOut(o))
			})
			answer = last
		} else {
			answer = e.answer(r, o)
		}
		e.group.answers++
		e.group.mu.Unlock()
		if _, err := c.Write(answer); err != nil {
			return
		}
		last = answer
	}
}

type order struct {
	Op      string    `json:"op"`
	Epoch   uint64    `json:"epoch"`
	Version uint64    `json:"version"`
	Step    uint64    `json:"step"`
	Map     [][][]int `json:"map"`
}

func (e *engine) answer(r *http.Request, o order) []byte {
	status, body := http.StatusOK, any(struct{}{})
	switch {
	case r.Method == http.MethodPost:
		status = e.carryOut(o)
		if status == http.StatusConflict {
			e.group.record.printf("rank %d refuses the order to %s, version %d, pass %d", e.rank, o.Op, o.Version, o.Step)
		}
	case r.URL.Path == names["report"]:
		body = map[string]any{
			"stage": "unified", "models": []any{}, "isBusy": false, "sequence": 0, "waiting": 0, "running": 1,
			"group": map[string]any{"name": "g", "epoch": 1, "rank": e.rank, "state": "open"}, "size": len(e.group.engines),
			"step": e.group.pass, "pace": 1, "map": e.version, "isPrepared": e.prepared, "isArmed": e.armed, "held": e.held,
		}
	case r.URL.Query().Has("lists"):
		body = map[string]any{
			"map":        map[string]any{"version": e.version, "experts": [][]int{e.maps[e.version][0][e.rank]}},
			"isPrepared": map[string]any{"version": e.prepared, "experts": [][]int{}},
		}
	case r.URL.Path == names["picked"]:
		body = map[string]any{"step": e.group.pass, "epoch": 1, "counts": slices.Clone(e.counts)}
	default:
		status = http.StatusNotFound
	}
	data, err := json.Marshal(body)
	check(err)
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(data), data)
	return b.Bytes()
}

// carryOut carries out an order and returns the status of the answer.
func (e *engine) carryOut(o order) int {
	if o.Epoch != 1 {
		return http.StatusConflict
	}
	switch {
	case o.Op == "prepare" && o.Version > e.highest && e.armed == 0 && e.newExperts(o.Map) <= spare:
		e.highest, e.prepared, e.copying, e.maps[o.Version] = o.Version, 0, o.Version, o.Map
		time.AfterFunc(copyTime, func() {
			e.group.mu.Lock()
			defer e.group.mu.Unlock()
			if e.copying == o.Version {
				e.prepared = o.Version
			}
		})
		return http.StatusAccepted
	case o.Op == "hold" && o.Step > e.group.pass && (e.held == 0 || e.held == o.Step):
		e.held = o.Step
	case o.Op == "arm" && (e.armed == o.Version || e.prepared == o.Version && o.Version != 0 && o.Step > e.group.pass):
		e.armed, e.armedPass = o.Version, o.Step
	case o.Op == "disarm" && e.version != o.Version:
		if e.armed == o.Version {
			e.armed = 0
		}
	case o.Op == "go":
		if e.held == o.Step {
			e.held = 0
		}
	default:
		return http.StatusConflict
	}
	return http.StatusOK
}

// newExperts returns how many experts of a map the engine does not hold.
func (e *engine) newExperts(m [][][]int) int {
	n := 0
	for _, x := range m[0][e.rank] {
		if !slices.Contains(e.maps[e.version][0][e.rank], x) {
			n++
		}
	}
	return n
}
