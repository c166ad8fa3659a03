package api

// Status is the state of an entry instance as reported by itself.
type Status struct {
	Instance         string         `json:"instance"` // NAME@INCARNATION
	Centre           string         `json:"centre"`
	SettingsRevision int64          `json:"revision"` // revision of the settings applied
	Members          []Member       `json:"members,omitempty"`
	Queues           map[string]int `json:"queues,omitempty"` // queue lengths by name
	Stopping         bool           `json:"stopping,omitempty"`
	Store            StoreStatus    `json:"store"`
}

// Member is the state of an instance or target as known to an entry instance.
type Member struct {
	ID     string `json:"id"`
	Kind   string `json:"kind"`
	Centre string `json:"centre"`
	State  string `json:"state"` // live, leaving, silent, cut or down; see package member
}

// StoreStatus holds the counters of an entry instance's writes to the platform's table.
type StoreStatus struct {
	Down         bool  `json:"down"`         // the last transaction had no response
	Transactions int64 `json:"transactions"` // transactions sent since the start
	Rows         int64 `json:"rows"`         // row operations in them
	Changes      int64 `json:"changes"`      // changes that took effect
	Unanswered   int64 `json:"unanswered"`   // transactions without a response
}
