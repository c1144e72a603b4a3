package record_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/record"
	"github.com/anvilpoint/anvilpoint/internal/record/recordtest"
)

// drawSnapshot draws a valid snapshot by varying one from recordtest.
func drawSnapshot(t *rapid.T) *record.Snapshot {
	n := func(name string, low, high int) int { return rapid.IntRange(low, high).Draw(t, name) }
	s := recordtest.Snapshot(recordtest.Size{
		Accounts: n("accounts", 0, 4), Models: n("models", 1, 3), Replicas: n("replicas", 0, 6),
		Services: n("services", 0, 3), ServiceReplicas: n("service replicas", 0, 3), Domains: n("domains", 1, 3),
	})
	for id, a := range s.Accounts {
		a.Weight = rapid.Float64Range(0.001, 1e6).Draw(t, "weight")
		a.Classes = a.Classes[:n("classes", 1, 3)]
		if rapid.Bool().Draw(t, "no key") {
			a.KeyHashes = nil
		}
		s.Accounts[id] = a
	}
	for name, c := range s.Classes {
		c.Share = rapid.Float64Range(0, 0.3).Draw(t, "share")
		c.Deadline = c.FirstTokenTarget + time.Duration(n("deadline", 0, 100000))*time.Millisecond
		s.Classes[name] = c
	}
	for name, service := range s.Services {
		service.KeysValidFrom = time.Unix(0, rapid.Int64Range(1, 1<<60).Draw(t, "from")).UTC()
		service.OpaqueKeyWindow = time.Duration(n("window", 1000, 1000000)) * time.Millisecond
		s.Services[name] = service
	}
	if len(s.Replicas) > 0 && rapid.Bool().Draw(t, "group") {
		s.Groups["g"] = record.Group{ID: "g", Ranks: []ident.ServerID{"replica-0"}, Layers: n("layers", 1, 9), Experts: n("experts", 1, 9), SpareSlots: n("spare", 0, 9)}
		r := s.Replicas["replica-0"]
		r.Group = "g"
		s.Replicas["replica-0"] = r
	}
	return s
}

// Guards against a field that one schema cannot express or reads differently.
func TestBothSchemasHoldEverySnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawSnapshot(t)
		for schema := 1; schema <= record.NewestSchema; schema++ {
			value, err := record.Encode(schema, want)
			must.NoError(t, err)
			got, faults := record.Parse("r", value)
			must.NoError(t, faults.Err())
			must.SliceEmpty(t, record.Changes(want, got))
			again, err := record.Encode(3-schema, got)
			must.NoError(t, err)
			other, faults := record.Parse("r", again)
			must.NoError(t, faults.Err())
			must.True(t, record.Equal(got, other))
		}
		value, err := record.EncodeBundle(want)
		must.NoError(t, err)
		for newest := 1; newest <= record.NewestSchema; newest++ {
			got, faults := record.ParseUpTo(newest, "r", value)
			must.NoError(t, faults.Err())
			must.SliceEmpty(t, record.Changes(want, got))
		}
	})
}

const small = `{
  // one clerk
  "schema": 1, "revision": 7,
  "accounts": [{"id": "clerks", "classes": ["interactive"], "services": ["logbook"]}],
  "keys": [{"account": "clerks", "hash": "` + hash + `"}],
  "classes": [{"name": "interactive", "first_token_target_ms": 600, "token_target_ms": 44, "deadline_ms": 9000}],
  "shares": [{"class": "interactive", "share": 0.5}],
  "booking_share": 0.2,
  "models": [{"name": "m", "version": "v1"}],
  "replicas": [{"id": "m-0", "address": "127.0.0.1:9000", "failure_domain": "catania", "model": "m"}],
  "services": [{"name": "logbook", "replicas": [{"id": "l-0", "address": "127.0.0.1:9001", "failure_domain": "ragusa"}]}],
  "groups": [{"id": "g", "ranks": ["m-0"], "layers": 2, "experts": 4}]
}`

const hash = "2bd806c97f0e00af1a1fc3328fa763a9269723c8db8fac4f93af71db186d6e90"

// Guards against faults that are missed or reported at a wrong position.
func TestFaultsNameTheirPlace(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"id": "clerks"`, `"id": "clerks", "weight": -1`, `r:4:43: accounts[0].weight: -1 is not a positive weight`},
		{`["interactive"]`, `["batch"]`, `r:4:45: accounts[0].classes[0]: unknown class "batch"`},
		{`["logbook"]`, `["ledger"]`, `r:4:74: accounts[0].services[0]: unknown service "ledger"`},
		{`["interactive"]`, `[]`, `accounts[0].classes: an account needs at least one class`},
		{`"accounts": [`, `"accounts": [{"id": "clerks", "classes": ["interactive"]}, `, `account "clerks" is defined twice`},
		{hash, hash[1:], `r:5:42: keys[0].hash: the key hash is not 64 hexadecimal digits`},
		{hash, "zz" + hash[2:], `the key hash is not 64 hexadecimal digits`},
		{`"keys": [`, `"keys": [{"account": "clerks", "hash": "` + hash + `"}, `, `already belongs to account "clerks"`},
		{`"account": "clerks"`, `"account": "cooks"`, `unknown account "cooks"`},
		{`"share": 0.5`, `"share": 0.9`, `r:7:48: shares[0].share: the shares of the classes and of the bookings sum to 1.1, more than 1`},
		{`"share": 0.5`, `"share": 1.5`, `1.5 is more than the maximum 1`},
		{`"deadline_ms": 9000`, `"deadline_ms": 500`, `the deadline 500ms is before the first-token target 600ms`},
		{`127.0.0.1:9001`, `127.0.0.1:9000`, `already the address of replicas[0]`},
		{`127.0.0.1:9001`, `logbook:9000`, `"logbook:9000" is not an IP address and port`},
		{`"id": "l-0"`, `"id": "m-0"`, `backend server "m-0" is already defined at replicas[0]`},
		{`"model": "m"`, `"model": "n"`, `unknown model "n"`},
		{`"model": "m"`, `"role": "serve"`, `replicas[0].model: the field is required unless the role is standby`},
		{`["m-0"]`, `["m-0", "m-0"]`, `replica "m-0" is already a rank of group "g"`},
		{`["m-0"]`, `["m-1"]`, `unknown replica "m-1"`},
		{`"experts": 4`, `"experts": 0`, `0 is less than the minimum 1`},
		{`"schema": 1`, `"schema": 9`, `schema: schema 9 is not known; this program reads schemas 1 to 2`},
		{`"schema": 1`, `"schema": "1"`, `schema: the field is required and is a whole number from 1 to 2`},
		{`"booking_share"`, `"bookingShare"`, `bookingShare: unknown field, did you mean "booking_share"`},
		{`"revision": 7`, `"revision": -7`, `revision: `},
		{`{"name": "logbook"`, `{"name": "log/book"`, `must not contain /`},
	} {
		text := strings.Replace(small, c.old, c.new, 1)
		must.NotEq(t, small, text)
		_, faults := record.Parse("r", []byte(text))
		must.StrContains(t, faults.Error(), c.want)
	}
	_, faults := record.Parse("r", []byte(small))
	must.NoError(t, faults.Err())
}

// Guards against accepting a bundle whose records differ, and against a reader that
// refuses a bundle because it also holds a record of a newer schema.
func TestBundles(t *testing.T) {
	s, faults := record.Parse("r", []byte(small))
	must.NoError(t, faults.Err())
	second, err := record.Encode(2, s)
	must.NoError(t, err)
	first := strings.Replace(small, `"revision": 7,`, "", 1)
	bundle := func(records ...string) []byte {
		return fmt.Appendf(nil, `{"revision": 9, "records": [%s]}`, strings.Join(records, ",\n"))
	}
	got, faults := record.Parse("r", bundle(first, string(second), `{"schema": 3, "future": [{}]}`))
	must.NoError(t, faults.Err())
	must.Eq(t, 9, got.Digest.Revision)
	must.True(t, record.Equal(s, got))

	_, faults = record.Parse("r", bundle(first, strings.Replace(string(second), `"share": 0.5`, `"share": 0.4`, 1)))
	must.StrContains(t, faults.Error(), `records[1] differs from records[0]: class interactive: Share 0.5 to 0.4`)
	_, faults = record.Parse("r", bundle(small))
	must.StrContains(t, faults.Error(), "a record in a bundle has no revision of its own")
	_, faults = record.Parse("r", bundle(`{"schema": 3}`))
	must.StrContains(t, faults.Error(), "no record of a known schema")
	_, faults = record.Parse("r", bundle(strings.Replace(first, `"share": 0.5`, `"share": 5`, 1)))
	must.StrContains(t, faults.Error(), `r:7:48: records[0].shares[0].share: 5 is more than the maximum 1`)
}

// Guards against losing comments when the revision is set, and against a revision
// that is not replaced.
func TestStamp(t *testing.T) {
	for _, text := range []string{small, strings.Replace(small, `"revision": 7,`, "", 1)} {
		value, err := record.SetRevision([]byte(text), 1<<40)
		must.NoError(t, err)
		must.StrContains(t, string(value), "// one clerk")
		s, faults := record.Parse("r", value)
		must.NoError(t, faults.Err())
		must.Eq(t, 1<<40, s.Digest.Revision)
		must.Eq(t, record.DigestOf(1<<40, value), s.Digest)
	}
}
