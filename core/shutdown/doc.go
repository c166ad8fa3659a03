// Package shutdown orders the steps in which an instance shuts down.
//
// What the instance holds is handed over while clients are directed to other instances. After a
// fixed time no requests are taken any more, however long the handovers take, since they may have to
// wait for successors that shut down too. Requests that are still in progress near the end are
// made to answer, so that none is cut off.
package shutdown
