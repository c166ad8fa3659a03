// Command gypsumward runs an entry instance of gypsumward. An entry instance accepts
// jobs and requests of callers and has workers and runners execute them. All instances
// are of this one kind.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/go-kratos/kratos/v2"
	kratoslog "github.com/go-kratos/kratos/v2/log"
	"github.com/go-kratos/kratos/v2/transport/http"
	"github.com/jonboulle/clockwork"

	"gypsumward/core/access"
	"gypsumward/core/api"
	"gypsumward/core/settings/httpapi"
	"gypsumward/gypsumward/auth"
	"gypsumward/gypsumward/config"
	"gypsumward/gypsumward/hosted"
	"gypsumward/gypsumward/instrument"
	"gypsumward/gypsumward/node"
	"gypsumward/gypsumward/server"
	"gypsumward/platform"
)

// Exit codes.
const (
	exitFailed = 1 // the instance could not run
	exitUsage  = 2 // bad arguments or settings
)

const usage = `Usage: gypsumward -settings FILE
       gypsumward -check FILE
       gypsumward -platform [-check FILE]

Runs an entry instance, or only checks its settings. With -platform it runs on the
users' platform, with the settings file that the environment names.
Exit codes: 0 ended as asked, 1 could not run, 2 bad arguments or settings.

`

func main() {
	settings := flag.String("settings", "", "run with the settings in `FILE`")
	check := flag.String("check", "", "only check the settings in `FILE`")
	hostedByPlatform := flag.Bool("platform", false, "run on the users' platform")
	flag.Usage = func() {
		_, _ = io.WriteString(flag.CommandLine.Output(), usage)
		flag.PrintDefaults()
	}
	flag.Parse()
	if *hostedByPlatform {
		os.Exit(runHosted(*check))
	}
	path := *settings
	if *check != "" {
		path = *check
	}
	if path == "" || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(exitUsage)
	}
	c, keys, err := loadConfig(path)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if *check != "" {
		_, _ = fmt.Fprintln(os.Stdout, path+": ok")
		return
	}
	logger := newLogger(c.Log)
	if err := run(c, keys, logger); err != nil {
		_ = level.Error(logger).Log("event", "failed", "err", err)
		os.Exit(exitFailed)
	}
}

// runHosted runs an instance on the users' platform and returns the exit code. If
// checkPath is not empty, it only checks the settings file at checkPath.
func runHosted(checkPath string) int {
	path := checkPath
	if path == "" {
		path = os.Getenv(platform.SettingsPathEnv)
	}
	s, err := platform.Load(path)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "settings: "+err.Error())
		return exitUsage
	}
	if checkPath != "" {
		_, _ = fmt.Fprintln(os.Stdout, path+": ok")
		return 0
	}
	debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * memoryPercent / 100)
	debug.SetGCPercent(gcPercent)
	kratoslog.SetLogger(discardLogger{})
	if err := hosted.New(s, os.Stdout).Run(context.Background()); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}

// Settings of the garbage collector for an instance on the users' platform.
const (
	memoryPercent = 75  // soft memory limit in percent of the machine's memory
	gcPercent     = 300 // heap growth in percent of the live heap
)

// loadConfig reads the settings file at path and the key file that it names. The keys
// are nil if it names none.
func loadConfig(path string) (*config.Config, *access.File, error) {
	c, err := config.Load(path)
	if err != nil || c.Access == "" {
		return c, nil, err
	}
	keys := &access.File{Path: c.Access, Clock: clockwork.NewRealClock()}
	return c, keys, keys.Load()
}

// run runs an instance until it receives a signal to stop. If keys is nil, calls need no
// key.
func run(c *config.Config, keys *access.File, logger log.Logger) error {
	n := node.New(c, logger)
	s := &server.Server{
		Jobs: n.Owner, Requests: n.Forward, Teams: n.Teams, Observer: instrument.Calls{Meter: n.Meter}, Events: n.Events,
		Status: n.Status, Ready: n.Ready, MaxBodyBytes: int64(c.Limits.Body),
	}
	input, err := newInput(n)
	if err != nil {
		return err
	}
	options := []http.ServerOption{http.Address(c.Addr), http.Listener(input.listener), http.Timeout(0)}
	if keys != nil {
		g := &auth.Guard{Keys: keys.Keys, OnRefusal: func(r api.Refusal) { n.Meter.CountRefusal(r.Reason, r.Ran) }}
		s.Access = g
		options = append(options, http.Filter(g.Wrap))
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		keys.OnChange = logKeyReload(n.Log)
		go keys.Run(ctx)
	}
	h := http.NewServer(options...)
	s.Mount(h)
	h.Handle("/metrics", n.Meter.Handler())
	(&httpapi.Handler{Store: n.Store, Active: n.Active}).Register(h)
	input.server.Install(h.Server, h.Handler)
	app := kratos.New(
		kratos.Name("gypsumward"),
		kratos.ID(n.ID),
		kratos.Logger(discardLogger{}),
		kratos.Server(h),
		kratos.StopTimeout(c.Limits.Drain.Duration()),
		kratos.BeforeStart(n.Start),
		kratos.BeforeStop(n.Drain),
		kratos.AfterStop(n.Stop),
	)
	return app.Run()
}

// logKeyReload returns a function that logs the result of reloading the key file.
func logKeyReload(logger log.Logger) func(*access.Keys, error) {
	return func(keys *access.Keys, err error) {
		if err != nil {
			_ = level.Error(logger).Log("event", "keys", "detail", "invalid key file, the previous keys stay in force", "err", err)
			return
		}
		_ = level.Info(logger).Log("event", "keys", "count", keys.Len())
	}
}

// newLogger returns a logger to standard error for lines at level l and above.
func newLogger(l config.Level) log.Logger {
	allowed := map[config.Level]level.Option{
		config.Debug: level.AllowDebug(), config.Info: level.AllowInfo(),
		config.Warn: level.AllowWarn(), config.Error: level.AllowError(),
	}
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	logger = level.NewFilter(logger, allowed[l])
	return log.With(logger, "time", log.TimestampFormat(time.Now, time.RFC3339Nano))
}
