package record_test

import (
	"crypto/sha256"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/record"
)

func route(host, prefix string) record.Route {
	return record.Route{Name: host + prefix, Host: host, Prefix: prefix, Split: []record.Share{{Service: "s", Weight: 1}}}
}

// Guards against a request being matched to a less specific route or to another
// host's route.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	r, err := record.NewRoutes(record.RouteSpec{Version: 1, Routes: []record.Route{
		route("a.example", "/"), route("a.example", "/x/"), route("a.example", "/x/y/"), route("b.example", "/x/"),
	}})
	must.NoError(t, err)
	for path, want := range map[string]string{"/x/y/z": "/x/y/", "/x/yy": "/x/", "/x": "/", "/q": "/"} {
		found, ok := r.Match("A.example:8080", path)
		must.True(t, ok)
		must.Eq(t, want, found.Prefix)
	}
	_, ok := r.Match("b.example", "/q")
	must.False(t, ok)
	_, ok = r.Match("c.example", "/x/")
	must.False(t, ok)
}

// Guards against accepting routes that cannot be served.
func TestBrokenRoutesAreRefused(t *testing.T) {
	for _, broken := range []record.Route{
		route("a", "x/"), route("a", "/x"),
		{Name: "r", Prefix: "/"}, {Name: "r", Prefix: "/", Split: []record.Share{{Service: "s", Weight: -1}}},
	} {
		_, err := record.NewRoutes(record.RouteSpec{Version: 1, Routes: []record.Route{broken}})
		must.Error(t, err)
	}
	_, err := record.NewRoutes(record.RouteSpec{})
	must.Error(t, err)
}

// Guards against an API key being resolved to another account or to none.
func TestAccountOfAKey(t *testing.T) {
	hash := func(key string) record.KeyHash { return sha256.Sum256([]byte(key)) }
	r, err := record.NewRoutes(record.RouteSpec{Version: 1, Accounts: []record.RouteAccount{
		{ID: "one", KeyHashes: []record.KeyHash{hash("k1"), hash("k2")}}, {ID: "two", KeyHashes: []record.KeyHash{hash("k3")}},
	}})
	must.NoError(t, err)
	for key, want := range map[string]ident.ClientAccount{"k1": "one", "k2": "one", "k3": "two"} {
		a, ok := r.Account(hash(key))
		must.True(t, ok)
		must.Eq(t, want, a.ID)
	}
	_, ok := r.Account(hash("k4"))
	must.False(t, ok)
}
