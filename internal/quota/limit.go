package quota

import (
	"time"
)

// Limit is what a tenant may use over all gateways: Rate units a second, and Burst units above
// that.
type Limit struct {
	Rate, Burst float64
}

// Enforcement defines by how much all processes together may overrun a limit.
type Enforcement struct {
	// Window is the time over which the use is measured, defaultWindow if it is 0.
	Window time.Duration
	// RelativeTolerance is a fraction of what the limit allows within the window, and
	// AbsoluteTolerance a number of units in addition to it.
	RelativeTolerance, AbsoluteTolerance float64
	// Strict limits are not exceeded over any longer time either: a full burst may be used once, not
	// in each window. Each refused request is told when the bucket will have enough tokens for it,
	// and no request passes for an account whose limit is not known.
	Strict bool
}

// defaultWindow is long enough for a tenant's largest requests to be only a part of its use.
const defaultWindow = 8 * time.Second

// window is the time over which the use is measured.
func (e Enforcement) window() time.Duration {
	if e.Window <= 0 {
		return defaultWindow
	}
	return e.Window
}

// tolerance is the number of units by which a limit may be overrun within the window.
func (e Enforcement) tolerance(limit Limit) float64 {
	return (limit.Rate*e.window().Seconds()+limit.Burst)*e.RelativeTolerance + e.AbsoluteTolerance
}
