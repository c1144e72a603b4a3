package intake

import (
	"time"

	"github.com/anvilpoint/anvilpoint/internal/record"
)

const (
	// paceGain is the weight of one observation. Each entry makes about fifty a
	// second, so that the estimate follows a change of the expert map in a second.
	paceGain = 0.06
	// gapMargin is the part of the gap target that the mean pass may take. One
	// pause beyond the target makes a whole stream late, and passes that also
	// prefill prompts take longer than the mean.
	gapMargin = 0.82
	// largeGapMargin is the same for groups of largeGroup ranks or more. Their map
	// follows a shift of popularity later, so that every stream meets passes of nearly
	// twice the mean. Measured with 16 and 72 ranks only.
	largeGapMargin = 0.48
	largeGroup     = 48
	// firstSkew is how much longer than a balanced pass the first passes are taken
	// to be, before any is measured: the first map assigns experts in turn.
	firstSkew = 2.5
	// leastPerServer keeps a group at work however slow it is.
	leastPerServer = 1.0
	// crowdedPart is the least load, as a part of the slots, at which an
	// observation says what a request adds to a pass.
	crowdedPart = 0.1
	// lateWorth is the worth of a late answer relative to one on time. The users'
	// tables have 0.28 to 0.39.
	lateWorth = 0.3
)

// pace estimates the time of a pass as a fixed part and a part per request.
type pace struct {
	known bool
	// base and each are in seconds.
	base  float64
	each  float64
	least float64
	slots float64
	last  float64
}

func newPace(e *record.EngineModel) pace {
	if e == nil {
		return pace{}
	}
	stride := float64(e.Stride)
	p := pace{known: true, base: stride * e.Step.Seconds(), least: stride * e.PerSequence.Seconds(), slots: float64(max(e.Slots, 1))}
	p.each = firstSkew * p.least
	return p
}

// observe takes the gap of a stream, the requests per server and the pace of the
// slowest server at that time.
func (p *pace) observe(gap time.Duration, perServer, slowest float64) {
	if !p.known || gap <= 0 || perServer < crowdedPart*p.slots {
		return
	}
	p.last += paceGain * (gap.Seconds() - p.last)
	each := max((gap.Seconds()-p.base*slowest)/perServer, p.least)
	p.each += paceGain * (each - p.each)
}

func (p *pace) gap() time.Duration { return time.Duration(p.last * float64(time.Second)) }

// perServer is how many requests a healthy server may hold so that a pass stays
// within the target. All ranks wait for the fixed part of the slowest one's pass.
// Where so few would be on time that more is gained by late answers, the slots are
// filled.
func (p *pace) perServer(target time.Duration, slowest float64, ranks int) float64 {
	if target <= 0 || p.each <= 0 {
		return p.slots
	}
	margin := gapMargin
	if ranks >= largeGroup {
		margin = largeGapMargin
	}
	base := p.base * slowest
	n := min(max((margin*target.Seconds()-base)/p.each, leastPerServer), p.slots)
	onTime, late := n/(base+p.each*n), p.slots/(base+p.each*p.slots)
	if lateWorth*late > onTime {
		return p.slots
	}
	return n
}
