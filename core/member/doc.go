// Package member maintains the view that one instance has of all instances and
// targets.
//
// The view has three sources. The platform's list of live instances and targets
// lags by seconds and may be unavailable. Instances inform each other about
// themselves by gossip. Targets show that they are leaving or unreachable by
// refusing work or connections. There is no agreement on any of these: a State is
// the view of one instance, and the Views of two instances may differ, for
// example under a partial partition in which A reaches B but not C, or in which C
// is known only through B.
//
// # Topology
//
// There is no full mesh. Once every gossip interval an instance exchanges one
// message with one partner: in three of four rounds with the next instance in a
// shuffled rotation of its own data centre, in the fourth with one of another
// data centre. A message has at most MaxMessage bytes: the record of the sender,
// then the records whose current version the sender has passed on the fewest
// times. The cost of an instance therefore does not grow with the number of
// instances. What grows is the age of the information about each instance;
// changes spread within a number of rounds that grows with the logarithm of the
// number of instances.
//
// # Incarnations
//
// A restarted instance counts as another instance: a Record with a later start time
// replaces one with an earlier start time, never the other way round. An instance
// that receives a record of its own name with a later start time shortly after its
// start assumes that its clock is behind and moves its own start time past it; if it
// receives one later, it takes the record for its successor. A record that is
// leaving stays leaving for its incarnation.
package member
