package callerapi

import "encoding/json"

// BatchRequest is the body of PathBatches: a piece of work of some thousand
// items, each with its own outcome.
type BatchRequest struct {
	Items []BatchItem `json:"items"`
}

// BatchItem is one request of a batch.
type BatchItem struct {
	// CustomID names the item in the results; unique within the batch.
	CustomID string `json:"custom_id"`
	// Method is POST; empty means POST.
	Method string `json:"method,omitempty"`
	// URL is the path of a completion, a chat or an application's operation.
	URL  string          `json:"url"`
	Body json.RawMessage `json:"body"`
	// IdempotencyKey is needed for operations that may not be repeated.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
}

// BatchState is the state of a batch.
type BatchState string

// States of a batch.
const (
	BatchRunning   BatchState = "running"
	BatchFinished  BatchState = "finished"
	BatchCancelled BatchState = "cancelled"
)

// Batch tells a batch's progress. It lives in the memory of the gateway that
// took it and ends with that process.
type Batch struct {
	ID      string     `json:"id"`
	Object  string     `json:"object"`
	Gateway string     `json:"gateway"`
	State   BatchState `json:"state"`
	// Paused is set while no item is started, because the results kept have
	// reached their bound.
	Paused bool        `json:"paused,omitempty"`
	Counts BatchCounts `json:"counts"`
}

// ObjectBatch is the object of a Batch.
const ObjectBatch = "batch"

// BatchCounts counts a batch's items by outcome.
type BatchCounts struct {
	Total     int `json:"total"`
	Pending   int `json:"pending"`
	Running   int `json:"running"`
	Answered  int `json:"answered"`
	Refused   int `json:"refused"`
	Cancelled int `json:"cancelled"`
}

// ItemOutcome is what became of an item.
type ItemOutcome string

// Outcomes of an item.
const (
	ItemPending   ItemOutcome = "pending"
	ItemRunning   ItemOutcome = "running"
	ItemAnswered  ItemOutcome = "answered"
	ItemRefused   ItemOutcome = "refused"
	ItemCancelled ItemOutcome = "cancelled"
)

// BatchResult is the outcome of one item.
type BatchResult struct {
	Index    int         `json:"index"`
	CustomID string      `json:"custom_id"`
	Outcome  ItemOutcome `json:"outcome"`
	// Response is set on answered and refused items.
	Response *BatchResponse `json:"response,omitempty"`
}

// BatchResponse is what the item's own request would have been answered with.
type BatchResponse struct {
	StatusCode int    `json:"status_code"`
	RequestID  string `json:"request_id"`
	// Body is JSON, or a JSON string of a body that is not.
	Body json.RawMessage `json:"body"`
}

// BatchResults is a page of results, in the order of the items. Query
// parameters of its path: after (index of the first) and limit.
type BatchResults struct {
	Results []BatchResult `json:"results"`
	// Next is the index to go on with; -1 if this was the last page.
	Next int `json:"next"`
}

// MaximumResultsPage bounds the results of one page.
const MaximumResultsPage = 500

// DecodeBatch reads and checks the body of PathBatches, but for what each item
// asks for.
func DecodeBatch(body []byte, maximumItems int) (BatchRequest, error) {
	var request BatchRequest
	if err := decodeJSON(body, &request); err != nil {
		return BatchRequest{}, err
	}
	if len(request.Items) == 0 {
		return BatchRequest{}, invalid("items: at least one is needed")
	}
	if len(request.Items) > maximumItems {
		return BatchRequest{}, invalid("items: at most %d are allowed", maximumItems)
	}
	seen := make(map[string]bool, len(request.Items))
	for index, item := range request.Items {
		if err := CheckName("custom_id", item.CustomID); err != nil {
			return BatchRequest{}, invalid("items[%d]: %v", index, err)
		}
		if seen[item.CustomID] {
			return BatchRequest{}, invalid("items[%d].custom_id: stands twice", index)
		}
		seen[item.CustomID] = true
		if item.Method != "" && item.Method != "POST" {
			return BatchRequest{}, invalid("items[%d].method: only POST is possible", index)
		}
	}
	return request, nil
}
