package operations_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/julienschmidt/httprouter"
	"github.com/shoenig/test/must"

	"github.com/anvilpoint/anvilpoint/internal/operations"
	"github.com/anvilpoint/anvilpoint/internal/status"
)

// Guards against a status page that can be read without the operators' key, in particular
// when no key is configured.
func TestStatusNeedsTheOperatorsKey(t *testing.T) {
	hash := sha256.Sum256([]byte("secret"))
	empty := sha256.Sum256(nil)
	for _, c := range []struct {
		keyHash, header string
		want            int
	}{
		{hex.EncodeToString(hash[:]), "Bearer secret", http.StatusOK},
		{hex.EncodeToString(hash[:]), "Bearer wrong", http.StatusForbidden},
		{hex.EncodeToString(hash[:]), "", http.StatusForbidden},
		{hex.EncodeToString(empty[:]), "", http.StatusForbidden},
		{"", "Bearer ", http.StatusForbidden},
	} {
		router := httprouter.New()
		operations.AddStatus(router, c.keyHash, func(context.Context) (status.Status, bool) {
			return status.Status{Instance: "i", State: "ready"}, true
		})
		r := httptest.NewRequest(http.MethodGet, "/status", nil)
		r.Header.Set("Authorization", c.header)
		w := httptest.NewRecorder()
		router.ServeHTTP(w, r)
		must.Eq(t, c.want, w.Code)
		must.Eq(t, c.want == http.StatusOK, w.Body.String() != "" && w.Body.String()[0] == '{')
	}
}
