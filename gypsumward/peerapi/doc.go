// Package peerapi provides the client and the server side of the calls between entry
// instances that packages owner, forward and follow need. It uses package peer as
// transport. The methods with their parameters and results are:
//
//	job.wait        WorkRequest -> WorkResponse          waits for the answer to a job that the instance owns
//	job.cancel      WorkRequest -> WorkResponse          cancels a job that the instance owns
//	job.offer       ReleaseNotice -> {}                  announces that jobs were released
//	request.wait    WorkRequest -> WorkResponse          waits for the answer to a request that the instance holds
//	request.room    CapacityRequest -> spill.Report      returns how many requests of another data centre could be accepted
//	request.spill   forward.SpillRequest -> forward.SpillResponse  runs a request of another data centre
//	settings.newer  SettingsRequest -> SettingsResponse  returns settings newer than a revision
//	share.tell      shares.Usage -> {}                   reports the demand on the sender by team
//
// An instance is named NAME@INCARNATION. A call that reaches another incarnation
// than the one it names is answered as not owned.
package peerapi
