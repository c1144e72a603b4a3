package intake

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/record"
)

const (
	// smoothing is the weight of one observation in the estimate. Each entry makes
	// about fifty a second, so that the estimate follows a change of the expert map
	// within a second.
	smoothing = 0.06
	// gapMargin is the ratio of the gap target that the mean pass may take. One gap
	// beyond the target makes a whole stream late, and passes that also prefill
	// prompts take longer than the mean.
	gapMargin = 0.82
	// largeGapMargin is the ratio of the gap target that the mean pass may take in
	// groups of largeGroup ranks or more. Their expert map follows a shift of expert
	// popularity later, so that every stream meets passes of nearly twice the mean.
	// Only groups of 16 and 72 ranks have been tried.
	largeGapMargin = 0.48
	// largeGroup is the number of ranks from which largeGapMargin applies.
	largeGroup = 48
	// initialSkew is the assumed cost of a request in a pass relative to a balanced
	// pass, before any is observed: the first map assigns experts in turn.
	initialSkew = 2.5
	// minPerServer, in requests, keeps a group at work however slow it is.
	minPerServer = 1.0
	// minLoadRatio is the ratio of requests to slots from which an observation tells
	// how much time a request adds to a pass.
	minLoadRatio = 0.1
	// lateWorth is the worth of a late answer relative to one on time. The clients'
	// worth tables give 0.28 to 0.39.
	lateWorth = 0.3
)

// passModel estimates the time of a pass as a fixed part and a part per request.
type passModel struct {
	known bool
	// fixed is the time of a pass without requests, in seconds.
	fixed float64
	// perRequest is the time that each request per server adds, in seconds.
	perRequest float64
	// minPerRequest is perRequest with balanced experts, in seconds.
	minPerRequest float64
	// slots is the number of requests in one batch of a server.
	slots float64
	// meanGap is the smoothed time of a pass, in seconds.
	meanGap float64
}

func newPassModel(e *record.EngineProfile) passModel {
	if e == nil {
		return passModel{}
	}
	stride := float64(e.Stride)
	p := passModel{known: true, fixed: stride * e.Step.Seconds(), minPerRequest: stride * e.PerSequence.Seconds(), slots: float64(max(e.Slots, 1))}
	p.perRequest = initialSkew * p.minPerRequest
	return p
}

// observe updates the estimate with the gap between two events of a stream, the
// requests per server and the slowdown of the slowest server at that time.
func (p *passModel) observe(gap time.Duration, perServer, slowest float64) {
	if !p.known || gap <= 0 || perServer < minLoadRatio*p.slots {
		return
	}
	p.meanGap += smoothing * (gap.Seconds() - p.meanGap)
	perRequest := max((gap.Seconds()-p.fixed*slowest)/perServer, p.minPerRequest)
	p.perRequest += smoothing * (perRequest - p.perRequest)
}

func (p *passModel) gap() time.Duration { return time.Duration(p.meanGap * float64(time.Second)) }

// limitPerServer returns how many requests a healthy server may hold so that a pass
// stays within the target. All ranks wait for the fixed part of the slowest one's
// pass. If that leaves so few requests that late answers from full slots are worth
// more, it returns all slots.
func (p *passModel) limitPerServer(target time.Duration, slowest float64, ranks int) float64 {
	if target <= 0 || p.perRequest <= 0 {
		return p.slots
	}
	margin := gapMargin
	if ranks >= largeGroup {
		margin = largeGapMargin
	}
	fixed := p.fixed * slowest
	n := min(max((margin*target.Seconds()-fixed)/p.perRequest, minPerServer), p.slots)
	onTime, late := n/(fixed+p.perRequest*n), p.slots/(fixed+p.perRequest*p.slots)
	if lateWorth*late > onTime {
		return p.slots
	}
	return n
}
