package replicalist

import (
	"context"
	"errors"

	"github.com/pierhaven/pierhaven/internal/region"
)

// Page is one page of the list. It is not changed once it was read.
type Page struct {
	Replicas []region.Replica
	// Unusable is the number of entries that name no replica to use, and UnusableIDs are those of their IDs that can be read.
	Unusable    int
	UnusableIDs []string
	// Next names the page that follows, empty on the last one.
	Next string
}

// ReadPage reads the page that a token names, the first one if it is empty. Its error is ErrRefused if the platform wants no
// call now.
type ReadPage func(ctx context.Context, token string) (Page, error)

// ErrRefused says that the platform rejects a call because there are too many, or wants to be called later.
var ErrRefused = errors.New("the platform wants no call now")
