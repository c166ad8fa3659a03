package shares

// Usage is the report of an instance to its peers.
type Usage struct {
	From  string  `json:"from"`
	Size  float64 `json:"size,omitempty"`  // relative size of the instance, such as its number of cores; zero counts as 1
	Full  bool    `json:"whole,omitempty"` // whether all teams are listed; others then have rate zero
	Rates []Rate  `json:"teams,omitempty"` // rates that have changed
}

// Rate is the demand of one team at one instance.
type Rate struct {
	Team string  `json:"team"`
	Rate float64 `json:"rate"` // target seconds per second
}
