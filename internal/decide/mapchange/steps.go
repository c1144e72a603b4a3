package mapchange

import "time"

const (
	// leadTime is how long before its step a change is announced. The hold and the arm
	// orders take up to 50 ms; a step that has to wait for them delays every stream of
	// the group.
	leadTime = 60 * time.Millisecond
	// longLeadTime replaces leadTime while orders time out and have to be resent.
	longLeadTime = 300 * time.Millisecond
	// minStepsAhead is the least number of steps by which a change is announced ahead.
	minStepsAhead = 2
	// maxStepsAhead is the greatest number of steps by which a change is announced ahead.
	maxStepsAhead = 8
	// stepTimeWeight is the weight of a new observation in the moving average of the
	// step time.
	stepTimeWeight = 0.3
	// maxObservedSteps is the number of steps from which on an observation of the step
	// time is discarded, since it spans a gap such as a lost connection.
	maxObservedSteps = 20
)

// chooseStep picks a step that no rank has begun and no other change has used.
func (l *Leader) chooseStep() {
	begun := l.latestStep()
	l.step = max(begun+l.stepsAhead(), l.lastStep+1)
	l.lastStep = l.step
}

// skipAnnounced excludes the steps that an earlier leader may have announced: it chose
// them at most maxStepsAhead ahead, plus one for each change that it aborted before a
// step began.
func (l *Leader) skipAnnounced() {
	l.lastStep = max(l.lastStep, l.latestStep()+2*maxStepsAhead)
}

// latestStep returns the last step that any rank has begun.
func (l *Leader) latestStep() uint64 {
	begun := uint64(0)
	for _, r := range l.ranks {
		begun = max(begun, r.status.CurrentStep)
	}
	return begun
}

// stepsAhead returns how many steps ahead a change is announced, so that the lead time
// is kept.
func (l *Leader) stepsAhead() uint64 {
	if l.stepTime <= 0 {
		return maxStepsAhead
	}
	lead := leadTime
	if l.anyStatus(func(s Status) bool { return s.OrdersUnanswered }) {
		lead = longLeadTime
	}
	steps := 1 + (lead+l.stepTime-1)/l.stepTime
	return uint64(min(max(steps, minStepsAhead), maxStepsAhead))
}

// observeStep updates the average step time when a rank reports that it has begun a
// step.
func (l *Leader) observeStep(begun uint64) {
	if begun <= l.observedStep {
		return
	}
	if steps := time.Duration(begun - l.observedStep); l.observedStep > 0 && steps < maxObservedSteps {
		observed := l.now.Sub(l.observedAt) / steps
		l.stepTime += time.Duration(stepTimeWeight * float64(observed-l.stepTime))
	}
	l.observedStep, l.observedAt = begun, l.now
}
