package tenure

import "encoding/json"

// Member is one life of an instance.
type Member struct {
	Node  string  `json:"node"`
	Life  string  `json:"life"` // differs with every start
	Addr  string  `json:"addr"` // for calls between instances
	Zone  string  `json:"zone"`
	Since int64   `json:"since"`           // milliseconds on the time of day, for choosing a successor only
	Cores float64 `json:"cores,omitempty"` // that the instance may use
}

// Holder is the row of the holder.
type Holder struct {
	Member
	Round int `json:"round"` // holders so far
}

// Beat is the sign of life of a holder.
type Beat struct {
	Life    string `json:"life"`
	Number  int64  `json:"number"`
	Runners int    `json:"runners"` // to which it can give orders
}

// Term is one holding.
type Term struct {
	Epoch   int64 // version of the row
	Round   int
	Runners int // of the former holder
}

// Key returns the key of the row of the holder of a cell, or of its sign of life. Each
// cell has a table of its own, so that a watch tells of nothing else.
func Key(cell, row string) string {
	return cell + "/cells-" + cell + "/" + row
}

// Names of rows.
const (
	HolderRow = "holder"
	BeatRow   = "beat"
)

func encode(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic("tenure: a row cannot be encoded: " + err.Error())
	}
	return raw
}
