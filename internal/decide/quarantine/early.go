package quarantine

import "time"

const (
	// minRefusals is the number of requests refused at one entry after which a trial may be
	// early, and minRefusedShare their share of those refused for the trait or served since.
	minRefusals     = 20
	minRefusedShare = 0.25
	// minEarlyCrashes and maxEarlyCrashes are the numbers of crashes from and up to which a
	// trial may be early. With one crash there is no other cause to mix it up with.
	minEarlyCrashes = 2
	maxEarlyCrashes = 3
)

// earlyRelease decides on a trial before the end of a hold. The more requests a hold keeps
// back, the more a wrong one costs, and the less likely it is right: few requests are deadly,
// and one of several crashes may have another cause.
type earlyRelease struct {
	// latest is when the latest of the crashes was.
	latest  time.Time
	crashes int
	// refusals counts the requests refused since, and served is the count of all requests
	// served until then.
	refusals, served int
}

// restart begins to count anew after a change of the evidence.
func (e *earlyRelease) restart(h crashHistory, served int) {
	if !e.latest.Equal(h.latest) {
		*e = earlyRelease{latest: h.latest, served: served}
	}
	e.crashes = len(h.crashes)
}

// due reports whether a trial may begin, when so many requests have been served.
func (e *earlyRelease) due(now time.Time, served int) bool {
	share := float64(e.refusals) / float64(e.refusals+served-e.served)
	mayBeMixed := e.crashes >= minEarlyCrashes && e.crashes <= maxEarlyCrashes
	return mayBeMixed && now.Sub(e.latest) >= shortHold && e.refusals >= minRefusals && share >= minRefusedShare
}
