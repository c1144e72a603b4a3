package message

import (
	"hash/fnv"

	"github.com/anvilpoint/anvilpoint/internal/ident"
)

// ServerTag stands for a backend server in counts that are sent several times a
// second to every entry. With tags of 16 bits two of 19 servers had the same one on a
// standard day, and an idle server of a plain service seemed full for the whole day.
type ServerTag uint32

// TagOf returns the tag of a server.
func TagOf(id ident.ServerID) ServerTag {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // A hash takes all that is written.
	return ServerTag(h.Sum32())
}

// ServerWork is the number of requests that an entry has at a backend server.
type ServerWork struct {
	_       struct{} `cbor:",toarray"`
	Server  ServerTag
	Running int
}

// Work tells other entries what the sender has at the backend servers that it
// calls itself, and which routes it has in force.
type Work struct {
	_       struct{} `cbor:",toarray"`
	Routes  ident.Revision
	Servers []ServerWork
	// Demand is the requests per second that clients send to the sender lately.
	Demand []ServiceDemand
	// Slow are the slow backend servers that a group has told the sender of lately.
	Slow []ServerPace
}

// ServerPace is the time of a backend server for the same work relative to a
// healthy one's.
type ServerPace struct {
	_       struct{} `cbor:",toarray"`
	Address string
	Pace    float64
}

// Paces tells an entry which ranks of a group are slow. The leader of the group
// sends it again and again while there are any.
type Paces struct {
	_    struct{} `cbor:",toarray"`
	Slow []ServerPace
}

// ServiceDemand is the rate of requests for a service.
type ServiceDemand struct {
	_         struct{} `cbor:",toarray"`
	Service   ident.ServiceName
	PerSecond float64
}

// Roster names the addresses for links at which the sender and the entries that
// it is linked with can be reached. Own is the sender's.
type Roster struct {
	_         struct{} `cbor:",toarray"`
	Own       string
	Addresses []string
}

// RoutesPull asks for the sender's routes if they are newer than the version.
type RoutesPull struct {
	_     struct{} `cbor:",toarray"`
	After ident.Revision
}

// RoutesPush carries the operator's routes as they were published.
type RoutesPush struct {
	_        struct{} `cbor:",toarray"`
	Version  ident.Revision
	Document []byte
}

// MapSwitch carries one message of the switch of an expert map between the
// processes beside the ranks. Payload is encoded by the codec of that protocol.
type MapSwitch struct {
	_       struct{} `cbor:",toarray"`
	Payload []byte
}
