package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pierhaven/pierhaven/internal/region"
	"github.com/pierhaven/pierhaven/internal/relay"
)

// BenchmarkPlacement measures placing one prompt among the replicas of fleets up to the largest planned size, of
// which 23 in 100 are prefill replicas.
func BenchmarkPlacement(b *testing.B) {
	for _, size := range []int{12, 32, 60, 160, 3700, 10_000} {
		b.Run(fmt.Sprint(size, " replicas"), func(b *testing.B) {
			var replicas []region.Replica
			for number := range size {
				stage := region.StageDecode
				if number*100 < 23*size {
					stage = region.StagePrefill
				}
				replicas = append(replicas, replica(fmt.Sprint("r", number), stage))
			}
			d := newDirectoryWithKnownCosts(replicas...)
			shared := relay.PromptPart{ID: "shared", Tokens: 6000}
			request := newPrefillRequest(prompt(shared, relay.PromptPart{ID: "own", Tokens: 3000}))
			request.Left = time.Minute
			b.ReportAllocs()
			for b.Loop() {
				lease, err := d.PlacePrefill("s", request)
				if err != nil {
					b.Fatal(err)
				}
				lease.Release()
			}
		})
	}
}

// BenchmarkReplace measures replacing the list by one with the same replicas.
func BenchmarkReplace(b *testing.B) {
	var list []region.Replica
	for number := range 10_000 {
		list = append(list, replica(fmt.Sprint("r", number), region.StageDecode))
	}
	d := newDirectoryWithKnownCosts(list...)
	b.ReportAllocs()
	for b.Loop() {
		d.Replace(list)
	}
}
