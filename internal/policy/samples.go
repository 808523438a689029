package policy

// rankingSamples are the environments on which a ranking program is tried at
// compilation. The first is all zeros, because unknown values are 0.
func rankingSamples() []any {
	typical := RankingVariables{
		Request: Request{Tenant: "tenant", Model: "model", Priority: 1, PromptTokens: 2000, OutputTokens: 100, HasDeadline: true, DeadlineIn: 2, DeadlineAt: 1002, ArrivedAt: 1000},
		Tenant:  Tenant{Weight: 1, BudgetShare: 0.5, Queued: 1},
		Queue:   Queue{Length: 3, OldestWait: 0.1, PredictedWait: 0.2},
		Zone:    typicalZone(),
		Clock:   typicalClock(),
	}
	return []any{RankingVariables{}, typical}
}

func placementSamples() []any {
	typical := PlacementVariables{
		Engine: Engine{ID: "engine-1", Index: 1, Role: "mixed", Model: "model", Version: "1", KVCapacity: 100_000, InFlight: 2},
		Zone:   typicalZone(),
		Clock:  typicalClock(),
	}
	return []any{PlacementVariables{}, typical}
}

func roleChangeSamples() []any {
	typical := RoleChangeVariables{
		Change: Change{Model: "model", From: "decode", To: "prefill", Gain: 100, Price: 10, PrefillUtilisation: 1.1, DecodeUtilisation: 0.5, SinceLast: 60},
		Demand: Demand{Requests: 10, PromptTokens: 20_000, OutputTokens: 1000, Queued: 4, OldestWait: 0.5, Missed: 1, Age: 0.5},
		Zone:   typicalZone(),
		Clock:  typicalClock(),
	}
	return []any{RoleChangeVariables{}, typical}
}

func priceSamples() []any {
	return []any{PriceVariables{}, PriceVariables{Zone: typicalZone(), Clock: typicalClock()}}
}

func typicalZone() Zone {
	return Zone{Name: "zone", Engines: 6, Prefill: 2, Decode: 3, Mixed: 1, Gateways: 2}
}

func typicalClock() Clock {
	return Clock{Hour: 17, Minute: 30, Weekday: 3}
}
