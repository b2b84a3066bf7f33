package console

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"amaranthtide"
	"amaranthtide/protocol/operation"
	"amaranthtide/protocol/reply"
	"amaranthtide/protocol/settings"
)

type operatorKey struct{}

// authenticate is middleware that rejects requests without an operator's token. It
// adds the operator to the request's context.
func (h *Handler) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		operator, ok := h.operator(token)
		if !ok {
			err := amaranthtide.Errorf(amaranthtide.KindUnauthenticated, "the bearer token of an operator is required")
			w.Header().Set("WWW-Authenticate", `Bearer realm="amaranthtide"`)
			writeRefusal(w, operation.ErrorResponse{Body: reply.New(err)}, err)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, operator)))
	})
}

// operator returns the operator with the given token. It compares the hash with those
// of all operators in constant time, so that response times reveal nothing about the
// hashes.
func (h *Handler) operator(token string) (settings.Operator, bool) {
	sum := sha256.Sum256([]byte(token))
	got := []byte(hex.EncodeToString(sum[:]))
	var found settings.Operator
	ok := false
	for _, o := range h.opts.Operators {
		if subtle.ConstantTimeCompare(got, []byte(o.TokenSHA256)) == 1 {
			found, ok = o, true
		}
	}
	return found, ok && token != ""
}

func operatorOf(ctx context.Context) settings.Operator {
	o, _ := ctx.Value(operatorKey{}).(settings.Operator)
	return o
}

// requireChange is middleware that rejects operators without the role "change".
func requireChange(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if o := operatorOf(r.Context()); o.Role != settings.RoleChange {
			err := amaranthtide.Errorf(amaranthtide.KindForbidden, "operator %s has the role %q; changes require the role %q", o.Name, o.Role, settings.RoleChange)
			writeRefusal(w, operation.ErrorResponse{Body: reply.New(err)}, err)
			return
		}
		next.ServeHTTP(w, r)
	})
}
