package onceonly_test

import (
	"fmt"

	"github.com/pierhaven/pierhaven/coordination/onceonly"
)

// A label is printed once, although its request is sent three times.
func ExampleTable() {
	table := onceonly.New()
	claim := func(attempt string) onceonly.Reply {
		return table.Step(&onceonly.Command{Kind: onceonly.KindClaim, TimeMillis: 1000, Claim: &onceonly.Claim{
			Tenant: "depot", Key: "label-1", Opaque: true, BodyHash: []byte{1}, AttemptID: attempt, Holder: "gateway-1",
		}})
	}
	fmt.Println(claim("first").Status)
	fmt.Println(claim("second").Status)
	table.Step(&onceonly.Command{Kind: onceonly.KindComplete, TimeMillis: 2000, Completion: &onceonly.Completion{
		Tenant: "depot", Key: "label-1", AttemptID: "first", Answer: onceonly.Answer{Status: 200, Body: []byte("printed")},
	}})
	third := claim("third")
	fmt.Println(third.Status, string(third.Answer.Body))
	// Output:
	// granted
	// in_progress
	// answered printed
}
