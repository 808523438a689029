package operatorapi

import "github.com/pierhaven/pierhaven/internal/poison"

// HeldList are the requests of a zone that are held, those that were held last first.
type HeldList struct {
	Requests []poison.Held `json:"requests"`
}
