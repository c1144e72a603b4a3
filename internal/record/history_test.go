package record_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/message"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/internal/record/recordtest"
)

// Guards against patches whose size grows with the record, and against a push
// with a wrong base or digest being accepted.
func TestPushes(t *testing.T) {
	s := recordtest.Snapshot(recordtest.Target)
	sender, receiver := record.NewHistory(), record.NewHistory()
	publish := func(revision ident.Revision) (message.Digest, []byte) {
		value, err := record.EncodeBundle(s)
		must.NoError(t, err)
		value, err = record.SetRevision(value, revision)
		must.NoError(t, err)
		return record.DigestOf(revision, value), value
	}
	d1, v1 := publish(1)
	sender.Add(d1, v1)
	whole, err := sender.Push(message.Digest{})
	must.NoError(t, err)
	got, err := receiver.Open(&whole)
	must.NoError(t, err)
	must.Eq(t, string(v1), string(got))
	receiver.Add(d1, got)

	a := s.Accounts["account-7"]
	a.Weight = 3
	s.Accounts["account-7"] = a
	d2, v2 := publish(2)
	sender.Add(d2, v2)
	patch, err := sender.Push(d1)
	must.NoError(t, err)
	must.SliceEmpty(t, patch.Whole)
	got, err = receiver.Open(&patch)
	must.NoError(t, err)
	must.Eq(t, string(v2), string(got))
	t.Logf("value %d bytes, whole push %d, patch %d", len(v2), len(whole.Whole), len(patch.Patch))
	must.Less(t, 1024, len(patch.Patch))

	_, err = record.NewHistory().Open(&patch)
	must.ErrorIs(t, err, record.ErrPatch)
	patch.Record.Hash++
	_, err = receiver.Open(&patch)
	must.ErrorIs(t, err, record.ErrPatch)
}
