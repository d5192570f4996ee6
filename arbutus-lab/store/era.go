package store

import (
	"net/http"
	"strconv"
)

// eraWriter adds the store's era to the header of a response.
type eraWriter struct {
	http.ResponseWriter

	store *Store
	sent  bool
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	w.setEra()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *eraWriter) Write(b []byte) (int, error) {
	w.setEra()
	return w.ResponseWriter.Write(b)
}

// Unwrap lets http.ResponseController reach the underlying writer.
func (w *eraWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *eraWriter) setEra() {
	if w.sent {
		return
	}
	w.sent = true
	w.Header().Set(eraHeader, strconv.FormatUint(w.store.Era(), 10))
}
