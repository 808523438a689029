package exchange

import (
	"errors"

	"github.com/pierhaven/pierhaven/internal/upstream"
)

// ErrNotPermitted is the cause of an Error if the permission to send was
// withdrawn while the connection was being made.
var ErrNotPermitted = errors.New("the permission to send was withdrawn")

// Error is the failure of an exchange.
type Error = upstream.Error

// HandedOver reports whether a request may have reached its callee. Only an
// Error that says otherwise is proof that it has not.
func HandedOver(err error) bool { return upstream.HandedOver(err) }
