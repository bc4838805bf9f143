// Package authenticator checks keys and finds the customers that own them.
package authenticator

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/indexer"
	"github.com/flamingotack/flamingotack/internal/parser"
)

const (
	bearerPrefix = "Bearer "
	maxKeyBytes  = 512
	minKeyBytes  = 8
)

// Authenticate sets the customer and the key digest of r and limits its priority
// to the highest that the customer may use. key is empty when the caller sent
// none, which only a route for anonymous requests accepts. The error is a
// *exchanger.Refusal.
func Authenticate(x *indexer.Index, route parser.Route, key string, r *exchanger.Request) error {
	if key == "" {
		if route.AllowAnonymous {
			return nil
		}
		return exchanger.NotRun(http.StatusUnauthorized, exchanger.ReasonKeyMissing,
			"the route needs a key in the Authorization header")
	}
	digest := DigestKey(key)
	customer := x.CustomerByKeyDigest(digest)
	if customer == nil {
		return exchanger.NotRun(http.StatusUnauthorized, exchanger.ReasonKeyUnknown,
			"the key is unknown or withdrawn")
	}
	if isKeyExposed(key, r) {
		return exchanger.NotRun(http.StatusBadRequest, exchanger.ReasonHeaders,
			"the key stands outside the Authorization header")
	}
	r.Customer = customer.Name
	r.KeyDigest = digest
	r.Priority = max(r.Priority, customer.MaxPriority)
	return nil
}

// DigestKey returns the SHA-256 digest of a key in lower-case hexadecimal.
func DigestKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// KeyFromHeader returns the key in the Authorization header; empty without that
// header. The error is a *exchanger.Refusal.
func KeyFromHeader(h http.Header) (key string, err error) {
	values := h.Values("Authorization")
	if len(values) == 0 {
		return "", nil
	}
	malformed := exchanger.NotRun(http.StatusBadRequest, exchanger.ReasonHeaders,
		"the Authorization header is not one Bearer key of %d to %d bytes", minKeyBytes, maxKeyBytes)
	if len(values) > 1 {
		return "", malformed
	}
	if len(values[0]) < len(bearerPrefix) || !strings.EqualFold(values[0][:len(bearerPrefix)], bearerPrefix) {
		return "", malformed
	}
	key = strings.TrimSpace(values[0][len(bearerPrefix):])
	if len(key) < minKeyBytes || len(key) > maxKeyBytes {
		return "", malformed
	}
	return key, nil
}

// KeyStillValid reports whether the key that admitted r still belongs to r's
// customer. It is true for a request without a key.
func KeyStillValid(x *indexer.Index, r *exchanger.Request) bool {
	if r.KeyDigest == "" {
		return true
	}
	customer := x.CustomerByKeyDigest(r.KeyDigest)
	return customer != nil && customer.Name == r.Customer
}

// isKeyExposed reports whether the key occurs in a part of r that the backend
// server receives.
func isKeyExposed(key string, r *exchanger.Request) bool {
	if strings.Contains(r.Path, key) || strings.Contains(r.Query, key) {
		return true
	}
	for _, values := range r.Header {
		for _, v := range values {
			if strings.Contains(v, key) {
				return true
			}
		}
	}
	return bytes.Contains(r.Body, []byte(key))
}
