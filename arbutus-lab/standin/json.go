package standin

import (
	"io"
	"net/http"

	"github.com/go-json-experiment/json"
)

// maxBodyBytes limits how much of a request's body is read.
const maxBodyBytes = 1 << 20

// readJSON decodes the request's body into v and reports whether it could. If not, it
// responds with status 400 and the error.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(b, v)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeJSON responds with v as one line of JSON, with sorted keys.
func writeJSON(w http.ResponseWriter, v any) {
	b, err := json.Marshal(v, json.Deterministic(true))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(append(b, '\n'))
}
