// Package target defines the messages between entry instances and the targets
// of a data centre: runners, which execute requests, and workers, which run the
// tasks of jobs under leases.
//
// Messages are JSON objects sent over HTTP with the method POST:
//
//	runner  /run      Call       -> Reply       runs one request
//	worker  /start    Start      -> Started     starts tasks, returns at once
//	worker  /watch    Watch      -> Outcomes    waits for outcomes, renews leases
//	worker  /adopt    Adopt      -> TaskStates  moves tasks to another holder
//	worker  /stop     TaskIDs    -> TaskStates  stops tasks
//	worker  /throttle TaskIDs    -> TaskStates  slows tasks to half speed
//	worker  /checkpoint TaskIDs  -> TaskStates  saves the progress of tasks
//
// A runner that refuses a request responds with status 503 and a Reply whose
// Refused field is set: it has not started the request and never will. After any
// other status than 200, a broken connection or a Reply with another id the
// outcome is unknown.
//
// Each target also serves GET /health. Stand-ins for targets serve GET /record,
// which lists the starts that the target itself recorded.
package target
