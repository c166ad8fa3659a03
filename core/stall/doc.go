// Package stall detects pauses of the own process, during which messages wait unread in the
// buffers of its sockets.
//
// A process that was stopped, or whose machine was suspended, reads such messages as if they had
// just been sent. Their senders may have given up long before and acted on that, for example sent
// the same request to another instance. A Detector tells for how long a message that is read now
// may have waited, so that the time that its sender waits can be counted from when it was sent.
package stall
