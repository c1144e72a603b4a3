package message_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
)

// Guards against a further field in a report that entries send all the time: a process of an
// earlier build cannot decode it and closes the link during an update.
func TestEntryReportIsDecodedByEarlierBuilds(t *testing.T) {
	type earlier struct {
		_       struct{} `cbor:",toarray"`
		Routes  ident.Revision
		Servers []message.ServerWork
		Demand  []message.ServiceDemand
		Slow    []message.ServerSlowdown
	}
	data, err := cbor.Marshal(message.EntryReport{Routes: 7})
	must.NoError(t, err)
	var got earlier
	must.NoError(t, cbor.Unmarshal(data, &got))
	must.Eq(t, 7, got.Routes)
}
