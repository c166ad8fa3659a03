package settings

import (
	"time"
)

// Subtree is the subtree of one team as stored in the table.
type Subtree struct {
	Team      string    `json:"team"`
	Version   int64     `json:"version,omitempty"` // revision of the change that wrote it
	Base      int64     `json:"base,omitempty"`    // version that it replaced; zero if none
	Text      string    `json:"text,omitempty"`    // TOML
	Removed   bool      `json:"removed,omitempty"` // the change removed the team's subtree
	Author    string    `json:"by,omitempty"`      // operator's name
	WrittenAt time.Time `json:"at"`                // wall-clock time of the instance that wrote it
	Note      string    `json:"note,omitempty"`    // reason for the change
	Nonce     string    `json:"nonce,omitempty"`   // nonce of the change
	Fault     string    `json:"fault,omitempty"`   // fault of the text of Version; if set, Text is that of a previous version
}

// TeamRowKey returns the row key of a team's subtree.
func TeamRowKey(team string) string {
	return teamPrefix + team
}
