package message

import (
	"hash/fnv"
	"time"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// ServerTag is a hash of a backend server's id. It replaces the id in counts that
// are sent to every entry several times a second. It has 32 bits because with 16
// bits two of 19 servers had the same tag, and an idle server of a plain service
// counted as full.
type ServerTag uint32

// TagOf returns the tag of a server.
func TagOf(id ident.ServerID) ServerTag {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // A hash never returns an error.
	return ServerTag(h.Sum32())
}

// ServerWork is the number of requests that an entry has in flight at a backend server.
type ServerWork struct {
	_       struct{} `cbor:",toarray"`
	Server  ServerTag
	Running int
}

// EntryReport reports an entry's state to the other entries: the requests that it has in
// flight at the backend servers that it calls directly, its demand, and its routes.
type EntryReport struct {
	_ struct{} `cbor:",toarray"`
	// Routes is the version of the routes in force at the sender.
	Routes  ident.Revision
	Servers []ServerWork
	// Demand is the recent rate of clients' requests to the sender, by service.
	Demand []ServiceDemand
	// Slow lists the slow backend servers that groups recently reported to the sender.
	Slow []ServerSlowdown
}

// AnnouncedRates goes before an EntryReport if there is any rate to report. It is a message
// of its own, since an older process cannot decode a report with a further field.
type AnnouncedRates struct {
	_ struct{} `cbor:",toarray"`
	// Rates lists the backend servers that announce a rate, or did so until recently.
	Rates []AnnouncedRate
}

// AnnouncedRate is what an entry knows of the rate at which a backend server takes
// requests from all entries together.
type AnnouncedRate struct {
	_      struct{} `cbor:",toarray"`
	Server ServerTag
	// Started is the number of requests that the sender has sent to the server within the
	// last four seconds.
	Started int
	// PerSecond is the rate. Announced is false if the server announces none any more.
	PerSecond float64
	Announced bool
	// Age is the time since the server's answer. FirstHand reports whether the sender has
	// received it itself.
	Age       time.Duration
	FirstHand bool
}

// ServerDepartures tells another entry of backend servers that are leaving or have left. The
// store may have lost these changes.
type ServerDepartures struct {
	_          struct{} `cbor:",toarray"`
	Departures []ServerDeparture
}

// ServerDeparture says that a backend server is leaving or was removed from the list.
type ServerDeparture struct {
	_      struct{} `cbor:",toarray"`
	Server ident.ServerID
	// StartedMS is the start time of the server, in milliseconds since 1970, or zero if it
	// is unknown.
	StartedMS int64
	// Sequence counts the writes of the server's list entry up to the departure.
	Sequence int64
	// Era is the era of the list in which the departure became known.
	Era     uint64
	Removed bool
	// Announced reports whether the server itself said in an answer that it is leaving.
	Announced bool
	// Age is the time since the first entry learned of it.
	Age time.Duration
}

// StateSummary ends what an entry tells another one when their link comes up.
type StateSummary struct {
	_ struct{} `cbor:",toarray"`
	// Routes is the version of the routes in force at the sender, zero without any.
	Routes ident.Revision
	// Complete reports whether the sender serves requests, and thus knows what confirmed
	// changes there are.
	Complete bool
	// Address is the host and port at which the sender accepts links.
	Address string
}

// ServerSlowdown is the time that a backend server needs for some work, divided by the
// time of a healthy server for the same work. A slow server's slowdown is above 1.
type ServerSlowdown struct {
	_        struct{} `cbor:",toarray"`
	Address  string
	Slowdown float64
}

// SlowServers tells an entry which ranks of a group are slow. The leader of the group
// repeats it for as long as any rank is slow.
type SlowServers struct {
	_    struct{} `cbor:",toarray"`
	Slow []ServerSlowdown
}

// ServiceDemand is the rate of requests for a service, in requests per second.
type ServiceDemand struct {
	_         struct{} `cbor:",toarray"`
	Service   ident.ServiceName
	PerSecond float64
}

// ProcessAddresses lists the link addresses of the sender (Own) and of the entries that it
// is linked with.
type ProcessAddresses struct {
	_         struct{} `cbor:",toarray"`
	Own       string
	Addresses []string
}

// RoutesPull asks the peer for its routes if their version is greater than After.
type RoutesPull struct {
	_     struct{} `cbor:",toarray"`
	After ident.Revision
}

// RoutesPush carries the document with the operator's routes, unchanged.
type RoutesPush struct {
	_        struct{} `cbor:",toarray"`
	Version  ident.Revision
	Document []byte
}

// MapChange carries one message of the protocol by which the processes beside the
// ranks switch to a new expert map. Payload is encoded by that protocol's codec.
type MapChange struct {
	_       struct{} `cbor:",toarray"`
	Payload []byte
}
