package dfhost

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"dragonflygrade/dfaudit"
	"dragonflygrade/dfgroup"
)

// OperatorHeader names the operator beside the operator key.
const OperatorHeader = "X-Operator"

// changeTimeout bounds a planned change of a primary.
const changeTimeout = 10 * time.Second

// operator returns who sent the request: the name in the certificate, or the
// name beside the operator key.
func (h *Host) operator(r *http.Request) (string, bool) {
	if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
		return r.TLS.PeerCertificates[0].Subject.CommonName, true
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || h.settings.OperatorKey == "" {
		return "", false
	}
	if subtle.ConstantTimeCompare([]byte(key), []byte(h.settings.OperatorKey)) != 1 {
		return "", false
	}
	name := r.Header.Get(OperatorHeader)
	return name, name != ""
}

// guarded reports whether reading the state needs an operator.
func (h *Host) guarded() bool {
	return h.settings.OperatorKey != "" || h.settings.AdminTLS != nil
}

// forReaders serves operators, and everyone if no operator can be told apart.
func (h *Host) forReaders(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, known := h.operator(r); !known && h.guarded() {
			refuseOperator(w)
			return
		}
		serve(w, r)
	}
}

func refuseOperator(w http.ResponseWriter) {
	http.Error(w, "give an operator's certificate, or the operator key and a name", http.StatusUnauthorized)
}

// serveChange moves the lead of a database away from its present primary.
func (h *Host) serveChange(w http.ResponseWriter, r *http.Request) {
	who, known := h.operator(r)
	if !known {
		refuseOperator(w)
		return
	}
	group := dfgroup.ID(r.FormValue("group"))
	holder := h.slots.holder(group)
	if holder == nil {
		http.Error(w, "this host holds no slot of "+string(group), http.StatusNotFound)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	from := holder.Primary()
	err := holder.Switchover(ctx)
	entry := dfaudit.Entry{
		Who: who, Kind: dfaudit.KindPromotion, Service: string(group), From: string(from),
		To: string(holder.Primary()), Why: "asked for by an operator", Outcome: "changed",
	}
	if err != nil {
		entry.Outcome = "failed: " + err.Error()
	}
	h.record(entry)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
