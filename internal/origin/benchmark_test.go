package origin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pierhaven/pierhaven/internal/datagram"
	"github.com/pierhaven/pierhaven/internal/origin"
)

// BenchmarkRecord measures what a coordinator does with a gateway's record, and its bytes on the network.
func BenchmarkRecord(b *testing.B) {
	keeper := origin.NewKeeper(1<<18, func([]string) []origin.ServiceVersions { return nil })
	var bytes int
	for number := range b.N {
		record := origin.Record{
			Key: origin.KeyOf("tenant", fmt.Sprint(number)), Call: uint64(number) << 32, Attempt: 1, LeftMillis: 6000,
			Origin: origin.Origin{Service: "huvo11a", Software: origin.Software{Version: "v1.1"}},
		}
		encoded, err := (&origin.Message{Records: []origin.Record{record}}).MarshalMsg(nil)
		if err != nil {
			b.Fatal(err)
		}
		var message origin.Message
		if _, err := message.UnmarshalMsg(encoded); err != nil {
			b.Fatal(err)
		}
		keeper.Handle(time.Duration(number)*200*time.Microsecond, &message)
		bytes = len(encoded) + 1 + datagram.Overhead
	}
	b.ReportMetric(float64(bytes), "B/record")
	b.ReportMetric(float64(keeper.Counts().Kept), "kept")
}
