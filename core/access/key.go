package access

import "slices"

// Role is the kind of calls that a key permits.
type Role string

// Roles.
const (
	Caller   Role = "caller"
	Operator Role = "operator"
)

// AllTeams in Key.Teams matches every team.
const AllTeams = "*"

// Key describes the permissions that a secret key grants. It does not contain the
// secret.
type Key struct {
	Name  string
	Role  Role
	Teams []string
}

// Allows reports whether k permits calls of the given role for a team. A nil Key
// permits none.
func (k *Key) Allows(role Role, team string) bool {
	return k != nil && k.Role == role && k.IncludesTeam(team)
}

// IncludesTeam reports whether k is valid for a team. A nil Key is valid for none.
func (k *Key) IncludesTeam(team string) bool {
	return k != nil && (slices.Contains(k.Teams, AllTeams) || slices.Contains(k.Teams, team))
}
