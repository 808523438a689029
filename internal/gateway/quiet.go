package gateway

import "github.com/cloudwego/hertz/pkg/common/hlog"

// The HTTP library's own log goes to stderr; the gateway's goes to the ring.
func init() { hlog.SetLevel(hlog.LevelFatal) }
