package soak

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/pierhaven/pierhaven/platform/platformtest"
)

const (
	// quotaRate and quotaBurst are the limit of one tenant, in requests; its callers send several
	// times as many.
	quotaRate  = 30
	quotaBurst = 30
	// quotaWindow is the time over which it is judged; quotaOver and quotaSlack are what is tolerated.
	quotaWindow = 4 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20
	// quotaCallers send for the tenant, each quotaPace after its last answer.
	quotaCallers = 4
	quotaPace    = 15 * time.Millisecond
	quotaPrefix  = "quota-"
)

// limitedTenant has a limit.
var limitedTenant = platformtest.Tenant{Name: "kiosk", APIKeys: []string{"kiosk-1"}, RatePerS: quotaRate, Burst: quotaBurst}

// quotaSettings are the lines on limits in the settings of all processes.
func quotaSettings() string {
	return fmt.Sprintf("quota_window_seconds: %g\nquota_over: %g\nquota_slack: %d\n", quotaWindow.Seconds(), quotaOver, quotaSlack)
}

// limitedRun is a request of the tenant with a limit that a replica has run.
type limitedRun struct {
	sent, ran time.Time
}

// sendLimited sends requests of the tenant with a limit to all gateways in turn.
func (s *soak) sendLimited(ctx context.Context, caller int) {
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("%s%d-%d", quotaPrefix, caller, number)
		s.truth.begin(id, false, bodyFor(id), limitedTenant.Name)
		s.truth.sendsLimited(id)
		gateway := s.gatewayFor(id, caller+number)
		bounded, cancel := context.WithTimeout(ctx, 2*callWait)
		answer, err := platformtest.CallAs(bounded, s.client, gateway, host, repeatRoute+"x", id, callWait, nil, limitedTenant.APIKeys[0])
		cancel()
		if err == nil {
			s.truth.answered(id, answer)
			s.truth.countLimited(answer.Status == http.StatusTooManyRequests)
		}
		pause(ctx, quotaPace)
	}
}

// sendsLimited notes when a request of the tenant with a limit is sent.
func (t *truth) sendsLimited(id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.limitedSent[id] = time.Now()
}

// ranLimited notes that a replica runs a request of the tenant with a limit. It is called with the
// mutex held.
func (t *truth) ranLimited(id string) {
	if !strings.HasPrefix(id, quotaPrefix) || t.runs[id] > 1 {
		return
	}
	t.limited = append(t.limited, limitedRun{sent: t.limitedSent[id], ran: time.Now()})
}

func (t *truth) countLimited(refused bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if refused {
		t.refusedLimited++
	}
}

// limits checks that in no window more was both sent and run than is tolerated.
func (t *truth) limits() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	sort.Slice(t.limited, func(i, j int) bool { return t.limited[i].sent.Before(t.limited[j].sent) })
	for index, first := range t.limited {
		end := first.sent.Add(quotaWindow)
		count := 0
		for _, each := range t.limited[index:] {
			if each.sent.After(end) {
				break
			}
			if !each.ran.After(end) {
				count++
			}
		}
		if float64(count) > allowed {
			t.violate("%d requests of %s were sent and run within %s, %.0f are allowed", count, limitedTenant.Name, quotaWindow, allowed)
			return
		}
	}
}
