// Command reedlead runs a gateway: it connects the decision module in package policy to clients, endpoints, the discovery
// agent and other gateways.
//
// EDGE_CONFIG names the configuration file, and EDGE_LOG the log level (INFO by default). The log goes to standard
// error. SIGHUP reloads the configuration, of which only the discovery address takes effect without a restart. SIGTERM and
// SIGINT drain the gateway and end the process.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"reedlead/internal/config"
	"reedlead/internal/netcalls"
	"reedlead/internal/proxy"
)

const (
	// maxProcs is the value of GOMAXPROCS. A gateway runs on one core, where a second thread for Go code costs processor
	// time and has no benefit.
	maxProcs = 1
	// memoryLimitFraction is the soft memory limit of the Go runtime as a fraction of the configured memory. The garbage
	// collector runs more often as the process nears the soft limit.
	memoryLimitFraction = 0.6
	// reloadRetryInterval is the time between attempts to read the configuration after a transient error, such as a lack
	// of file descriptors. It is short because a reload must take effect within 4 s of the signal.
	reloadRetryInterval = 50 * time.Millisecond
)

// errNoConfiguration reports that EDGE_CONFIG is empty or not set.
var errNoConfiguration = errors.New("EDGE_CONFIG is not set")

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "reedlead:", err)
		os.Exit(1)
	}
}

// run runs the gateway until SIGTERM or SIGINT, and then drains it.
func run() error {
	path := os.Getenv("EDGE_CONFIG")
	if path == "" {
		return errNoConfiguration
	}
	signal.Ignore(syscall.SIGPIPE) // without this, a write to a closed log pipe would end the process
	// A buffer of one is enough: the file is read after a signal is received, so later signals add nothing to a pending one.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()

	cfg, err := netcalls.RetryAtStart(ctx, time.Sleep, func() (config.Config, error) { return config.Read(path) })
	if err != nil {
		return err
	}
	limitResources(cfg)
	log, err := newLogger(cfg.Name, os.Getenv("EDGE_LOG"))
	if err != nil {
		return err
	}
	reloads := make(chan config.Config)
	done := make(chan struct{})
	defer close(done)
	go reloadOnSignal(reloadSignals, done, path, cfg, reloads, log)
	return proxy.Run(ctx, cfg, reloads, log)
}

// limitResources sets GOMAXPROCS and, if the configuration has a memory limit, the soft memory limit of the Go runtime.
func limitResources(cfg config.Config) {
	runtime.GOMAXPROCS(maxProcs)
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(cfg.MemoryMB<<20) * memoryLimitFraction))
	}
}

// newLogger returns a logger to standard error that adds the gateway's name to every line. An empty levelName means INFO.
func newLogger(name, levelName string) (*slog.Logger, error) {
	level := slog.LevelInfo
	if levelName != "" {
		if err := level.UnmarshalText([]byte(levelName)); err != nil {
			return nil, fmt.Errorf("EDGE_LOG: %w", err)
		}
	}
	handler := slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With("gateway", name), nil
}

// reloadOnSignal reads the configuration after each signal and sends it to reloads, until done is closed. If the file
// can't be read or is invalid, it logs the error and the gateway keeps its configuration. running is the configuration
// that the gateway started with.
func reloadOnSignal(
	signals <-chan os.Signal, done <-chan struct{}, path string, running config.Config,
	reloads chan<- config.Config, log *slog.Logger,
) {
	for {
		select {
		case <-signals:
		case <-done:
			return
		}
		cfg, err := readConfigWithRetry(path, done)
		if err != nil {
			log.Error("configuration reload failed", "error", err)
			continue
		}
		if cfg.RequiresRestart(running) {
			log.Warn("a reload applies only the discovery address; other changes need a restart")
		}
		select {
		case reloads <- cfg:
		case <-done:
			return
		}
	}
}

// readConfigWithRetry reads the configuration. As long as that fails with a transient error, such as a lack of file
// descriptors, it tries again until done is closed. Without the retries, the reload that a signal requested would be lost.
func readConfigWithRetry(path string, done <-chan struct{}) (config.Config, error) {
	for {
		cfg, err := config.Read(path)
		if !netcalls.IsTransient(err) {
			return cfg, err
		}
		select {
		case <-time.After(reloadRetryInterval):
		case <-done:
			return cfg, err
		}
	}
}
