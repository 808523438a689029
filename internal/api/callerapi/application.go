package callerapi

// HeaderReplayed is set to "true" on the stored answer of an earlier run.
const HeaderReplayed = "Idempotency-Replayed"

// KeyRequest is the body of PathIdempotencyKeys; an empty body asks for one key.
type KeyRequest struct {
	Count int `json:"count"`
}

// KeyResponse answers a KeyRequest. The keys carry their zone and their time; a
// key should be minted right before its first use.
type KeyResponse struct {
	Keys []string `json:"keys"`
}

// MaximumKeys bounds the keys of one KeyRequest.
const MaximumKeys = 4000

// DecodeKeyRequest reads and checks the body of PathIdempotencyKeys.
func DecodeKeyRequest(body []byte) (KeyRequest, error) {
	request := KeyRequest{Count: 1}
	if len(body) > 0 {
		if err := decodeJSON(body, &request); err != nil {
			return KeyRequest{}, err
		}
	}
	if request.Count < 1 || request.Count > MaximumKeys {
		return KeyRequest{}, invalid("count: must be from 1 to %d", MaximumKeys)
	}
	return request, nil
}
