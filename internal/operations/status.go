package operations

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/julienschmidt/httprouter"

	"github.com/anvilpoint/anvilpoint/internal/status"
)

// AddStatus adds the route /status, which requires the operators' key. It answers 403 to
// a wrong key, and to any key if keyHash is empty.
func AddStatus(router *httprouter.Router, keyHash string, ask func(ctx context.Context) (status.Status, bool)) {
	router.GET("/status", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		if !hasOperatorKey(r, keyHash) {
			writeText(w, http.StatusForbidden, "the operators' key is missing or wrong\n")
			return
		}
		s, ok := ask(r.Context())
		if !ok {
			writeText(w, http.StatusServiceUnavailable, "stopping\n")
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// The write fails only if the client has disconnected, which needs no report.
		_ = json.NewEncoder(w).Encode(s)
	})
}

// hasOperatorKey reports whether the request carries the key with the SHA-256 hash.
func hasOperatorKey(r *http.Request, keyHash string) bool {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	hash := sha256.Sum256([]byte(key))
	given := hex.EncodeToString(hash[:])
	return found && keyHash != "" && subtle.ConstantTimeCompare([]byte(given), []byte(strings.ToLower(keyHash))) == 1
}
