package versioned_test

import (
	"fmt"

	"github.com/pierhaven/pierhaven/coordination/versioned"
)

// Two operators change the same document based on the same revision; one of them
// resends the change after its answer was lost.
func ExampleStore() {
	store := versioned.New(versioned.Limits{})
	index := uint64(0)
	send := func(requestID string, operation versioned.Operation, expected uint64, body string) {
		index++
		command := versioned.Command{
			Operation: operation, RequestID: requestID, Kind: "policy", Name: "evening",
			ExpectedRevision: expected, Body: []byte(body),
		}
		data, err := command.Encode()
		if err != nil {
			fmt.Println(err)
			return
		}
		result, err := versioned.DecodeResult(store.Apply(index, data))
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(requestID, result.Outcome, result.DocumentRevision, result.Repeated)
	}
	send("create", versioned.OperationPut, 0, "price 1")
	send("anna", versioned.OperationReplace, 1, "price 2")
	send("bram", versioned.OperationReplace, 1, "price 3")
	send("anna", versioned.OperationReplace, 1, "price 2")
	document, _ := store.Get("policy", "evening")
	fmt.Println(string(document.Body))
	// Output:
	// create applied 1 false
	// anna applied 2 false
	// bram conflict 2 false
	// anna applied 2 true
	// price 2
}
