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

// AddStatus serves /status to holders of the operators' key. Without a hash of
// that key, or with a wrong key, it answers 403.
func AddStatus(router *httprouter.Router, keyHash string, ask func(ctx context.Context) (status.Status, bool)) {
	router.GET("/status", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		if !operator(r, keyHash) {
			answer(w, http.StatusForbidden, "the operators' key is missing or wrong\n")
			return
		}
		s, ok := ask(r.Context())
		if !ok {
			answer(w, http.StatusServiceUnavailable, "stopping\n")
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A client that has gone away is no fault of this process.
		_ = json.NewEncoder(w).Encode(s)
	})
}

func operator(r *http.Request, keyHash string) bool {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	hash := sha256.Sum256([]byte(key))
	given := hex.EncodeToString(hash[:])
	return found && keyHash != "" && subtle.ConstantTimeCompare([]byte(given), []byte(strings.ToLower(keyHash))) == 1
}
