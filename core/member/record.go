package member

import "gypsumward/core/table"

// Limits of records and messages.
const (
	MaxMessage     = 1200 // bytes of records in one message
	MaxData        = 512  // bytes of Record.Data
	maxWants       = 16   // names in Message.Wants
	maxDataRecords = 1    // records with Data in one message, besides that of the sender
	MaxName        = 64   // bytes of a name, an incarnation, an address or a data centre
)

// Record is the information that an instance spreads about itself. A brief record
// lacks StartTime, Addr, Peer and Centre and refers to an incarnation that the receiver
// knows.
type Record struct {
	ID          string `json:"id"`             // name of the instance
	Incarnation string `json:"inc"`            // incarnation
	StartTime   int64  `json:"born,omitempty"` // start time in nanoseconds since 1970, or later if the clock is behind; orders the incarnations of a name
	Version     int64  `json:"ver"`            // version; at least the number of gossip rounds at its last change, grows
	Addr        string `json:"addr,omitempty"` // IP number and port for HTTP
	Peer        string `json:"peer,omitempty"` // IP number and port for peers; empty in a brief record
	Centre      string `json:"centre,omitempty"`
	Leaving     bool   `json:"left,omitempty"` // the instance is shutting down
	Revision    int64  `json:"rev,omitempty"`  // revision of the settings in force
	Data        []byte `json:"data,omitempty"` // load and served cost; sent within the data centre only
}

// Message is one half of an exchange between two instances.
type Message struct {
	Records []Record `json:"recs"`           // starts with that of the sender
	Reports []Report `json:"list,omitempty"` // changes of targets
	Wants   []string `json:"want,omitempty"` // names whose full records the sender lacks
}

// later reports whether r belongs to a later incarnation than o.
func (r *Record) later(o *Record) bool {
	if r.StartTime != o.StartTime {
		return r.StartTime > o.StartTime
	}
	return r.Incarnation > o.Incarnation
}

// valid reports whether the fields of r are within their limits.
func (r *Record) valid() bool {
	for _, name := range []string{r.ID, r.Incarnation, r.Addr, r.Peer, r.Centre} {
		if len(name) > MaxName {
			return false
		}
	}
	return r.ID != "" && r.Incarnation != "" && len(r.Data) <= MaxData
}

// member returns r in the form of the platform's list.
func (r *Record) member() table.Member {
	return table.Member{ID: r.ID, Kind: table.KindEntry, Addr: r.Addr, Peer: r.Peer, Centre: r.Centre, Leaving: r.Leaving}
}

// brief returns r without the fields that are constant for an incarnation.
func (r Record) brief() Record {
	r.StartTime, r.Addr, r.Peer, r.Centre = 0, "", "", ""
	return r
}

// Sizes of records in JSON without the contents of their strings.
const (
	recordOverhead = 130 // bytes
	briefOverhead  = 60  // bytes
)

// size returns the approximate size of r in JSON, in bytes.
func (r *Record) size() int {
	if r.Peer == "" {
		return briefOverhead + len(r.ID) + len(r.Incarnation) + (len(r.Data)+2)/3*4
	}
	return recordOverhead + len(r.ID) + len(r.Incarnation) + len(r.Addr) + len(r.Peer) + len(r.Centre) + (len(r.Data)+2)/3*4
}
