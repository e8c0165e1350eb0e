package wire

// Settings is the part of a first message that the adapter hands on. Other keys are passed over.
type Settings struct {
	Balancers int `json:"balancers"`
	Bounds    struct {
		AttemptsCap   int   `json:"attempts-cap"`
		Cancel        bool  `json:"cancel"`
		MaxRetryAfter int64 `json:"max-retry-after-us"`
		RetryAfter    bool  `json:"retry-after"`
	} `json:"bounds"`
	Classes []struct {
		Aim       int64   `json:"aim-us"`
		Deadline  int64   `json:"deadline-us"`
		LateWorth float64 `json:"late-worth"`
		Repeat    string  `json:"repeat"`
		Worth     float64 `json:"worth"`
	} `json:"classes"`
	Discovery string `json:"discovery"`
	Extra     struct {
		Here         *int    `json:"here"`
		ReleaseGuard int64   `json:"release-guard-us"`
		SkilledPools [][]int `json:"skilled-pools"`
		T1           int64   `json:"t1-us"`
		TellsWait    bool    `json:"tells-wait"`
	} `json:"extra"`
	Guarantees struct {
		FallMultiple  float64 `json:"fall-multiple"`
		Fall          int64   `json:"fall-us"`
		StartCapacity float64 `json:"start-capacity"`
		WarmWithin    int64   `json:"warm-within-us"`
	} `json:"guarantees"`
	OverShareWorth float64 `json:"over-share-worth"`
	Report         struct {
		Fields []string `json:"fields"`
		Via    string   `json:"via"`
	} `json:"report"`
	Tenants []struct {
		QuotaPerS float64 `json:"quota-per-s"`
	} `json:"tenants"`
}
