package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"amaranthtide"
)

// authenticate returns the workspace that the bearer token names, after a check of the
// token if the workspace has a key.
func (h *Handler) authenticate(r *http.Request) (amaranthtide.WorkspaceName, amaranthtide.Workspace, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return "", amaranthtide.Workspace{}, amaranthtide.Errorf(amaranthtide.KindUnauthenticated,
			"an Authorization header with a bearer token is needed")
	}
	prefix, _, _ := strings.Cut(token, ".")
	name := amaranthtide.WorkspaceName(prefix)
	ws, ok := h.opts.Directory.Workspace(name)
	if !ok {
		return "", amaranthtide.Workspace{}, amaranthtide.Errorf(amaranthtide.KindUnknownWorkspace, "workspace %q is not known", name)
	}
	if ws.CallerKeySHA256 == "" {
		return name, ws, nil
	}
	sum := sha256.Sum256([]byte(token))
	want := strings.ToLower(ws.CallerKeySHA256)
	if subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(want)) != 1 {
		return "", amaranthtide.Workspace{}, amaranthtide.Errorf(amaranthtide.KindForbidden, "the token of workspace %q is wrong", name)
	}
	return name, ws, nil
}

// notForwarded holds the hop-by-hop header fields (RFC 9110, section 7.6.1) and those
// that the router sets or consumes itself.
var notForwarded = amaranthtide.NewSet(
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	"Authorization", "Accept-Encoding", "Content-Length",
	"Amaranthtide-Chat", "Amaranthtide-Timeout-Millis", "Amaranthtide-Class",
	"Amaranthtide-Leaving", "Amaranthtide-Limit",
)

// forwardedFields returns the fields of a caller's header that are passed on to backend
// servers.
func forwardedFields(header http.Header) []amaranthtide.HeaderField {
	connectionFields := amaranthtide.NewSet[string]()
	for _, name := range strings.Split(header.Get("Connection"), ",") {
		connectionFields.Add(http.CanonicalHeaderKey(strings.TrimSpace(name)))
	}
	fields := make([]amaranthtide.HeaderField, 0, len(header))
	for name, values := range header {
		if notForwarded.Has(name) || connectionFields.Has(name) {
			continue
		}
		for _, v := range values {
			fields = append(fields, amaranthtide.HeaderField{Name: name, Value: v})
		}
	}
	return fields
}
