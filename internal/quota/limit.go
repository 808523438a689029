package quota

import (
	"time"
)

// Limit is what a tenant may use over all gateways: Rate units a second, and Burst units above
// that.
type Limit struct {
	Rate, Burst float64
}

// Terms define by how much all processes together may overrun a limit.
type Terms struct {
	// Window is the time over which the use is measured, defaultWindow if it is 0.
	Window time.Duration
	// Over is a fraction of what the limit allows within the window, and Slack a number of units in
	// addition to it.
	Over, Slack float64
	// Strict limits are not exceeded over any longer time either: a full burst may be used once, not
	// in each window. Each refused request is told when the bucket will have enough tokens for it,
	// and no request passes for an account whose limit is not known.
	Strict bool
}

// defaultWindow is long enough for a tenant's largest requests to be only a part of its use.
const defaultWindow = 8 * time.Second

// window is the time over which the use is measured.
func (t Terms) window() time.Duration {
	if t.Window <= 0 {
		return defaultWindow
	}
	return t.Window
}

// tolerance is the number of units by which a limit may be overrun within the window.
func (t Terms) tolerance(limit Limit) float64 {
	return (limit.Rate*t.window().Seconds()+limit.Burst)*t.Over + t.Slack
}
