package quarantine_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/decide/quarantine"
)

// Guards against requests that are taken for each other because their fields are joined
// without a boundary, and against callers that are taken for each other.
func TestFingerprintTellsRequestsApart(t *testing.T) {
	f := quarantine.ContentOf("GET", "/a", []byte("b")).Fingerprint("account-1")
	must.Eq(t, f, quarantine.ContentOf("GET", "/a", []byte("b")).Fingerprint("account-1"))
	must.NotEq(t, f, quarantine.ContentOf("GET", "/ab", nil).Fingerprint("account-1"))
	must.NotEq(t, f, quarantine.ContentOf("POST", "/a", []byte("b")).Fingerprint("account-1"))
	must.NotEq(t, f, quarantine.ContentOf("GET", "/a", []byte("b")).Fingerprint("account-2"))
}

// Guards against prompts that are taken for each other because they are not in the body.
func TestFingerprintTellsPromptsApart(t *testing.T) {
	f := quarantine.ContentOf("POST", "/a", nil, "first", "second").Fingerprint("account-1")
	must.Eq(t, f, quarantine.ContentOf("POST", "/a", nil, "first", "second").Fingerprint("account-1"))
	must.NotEq(t, f, quarantine.ContentOf("POST", "/a", nil, "first", "third").Fingerprint("account-1"))
	must.NotEq(t, f, quarantine.ContentOf("POST", "/a", nil, "firstsecond").Fingerprint("account-1"))
}
