// Package shares computes the shares of teams over the instances of a data centre.
//
// Each instance has a queue of its own, and the load balancer does not distribute
// calls evenly: a team whose calls all reach one instance would get its share of
// that instance only. The instances therefore report to each other the rate at
// which each team demands work of them, in target seconds per second. From these
// rates each instance computes
//
//   - the local weight of each team: the team's weight times the fraction of the
//     team's demand that reaches this instance, increased for a team whose demand
//     does not exceed its share of the data centre, and
//   - its fraction of the data centre's targets: the sum over teams of the team's
//     weighted max-min fair share of the data centre times the fraction of the
//     team's demand that reaches this instance.
//
// A report holds only the rates that have changed. An instance without a recent
// report counts as using the part that corresponds to its size, and an instance
// that receives no reports uses the plain weights and its own part by size.
package shares
