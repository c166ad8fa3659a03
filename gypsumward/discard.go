package main

import kratoslog "github.com/go-kratos/kratos/v2/log"

// discardLogger discards the log lines of the kratos framework, which repeat those of
// the instance.
type discardLogger struct{}

// Log discards a line.
func (discardLogger) Log(kratoslog.Level, ...any) error {
	return nil
}
