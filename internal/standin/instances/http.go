package instances

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/anvilpoint/anvilpoint/internal/ident"
	"github.com/anvilpoint/anvilpoint/internal/standin"
)

// maxInstanceBytes is the maximum size of the body of a PUT.
const maxInstanceBytes = 64 << 10

// Handler serves GET /v1/instances. For tests it also serves PUT and DELETE
// /v1/instances/{name}.
func (l *List) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/v1/instances", l.get)
	router.PUT("/v1/instances/:name", l.put)
	router.DELETE("/v1/instances/:name", l.delete)
	return router
}

func (l *List) get(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	instances, err := l.Read(r.Context())
	if err != nil {
		standin.WriteStopped(w)
		return
	}
	standin.WriteJSON(w, http.StatusOK, instances)
}

func (l *List) put(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	var i Instance
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxInstanceBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&i); err != nil {
		standin.WriteError(w, http.StatusBadRequest, "the body is not an instance: "+err.Error())
		return
	}
	i.Name = ident.InstanceID(p.ByName("name"))
	if i.State == "" {
		i.State = Live
	}
	if i.State != Live && i.State != Leaving {
		standin.WriteJSON(w, http.StatusBadRequest, standin.ErrorBody{Error: "unknown state", Valid: []string{string(Live), string(Leaving)}})
		return
	}
	if err := l.Put(r.Context(), i); err != nil {
		standin.WriteStopped(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) delete(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	if err := l.Remove(r.Context(), ident.InstanceID(p.ByName("name"))); err != nil {
		standin.WriteStopped(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
