// Command reedlead is one real ingress: the decision module on sockets.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"reedlead/internal/netcalls"

	"reedlead/internal/config"

	"reedlead/internal/proxy"
)

const (
	// There is one core: a second processor took 1.84 s of CPU a calm day against 1.71 and 1.73 s,
	// at the same result.
	processors = 1
	// From this share of the memory limit on, the collector works as hard as it must.
	memoryShare = 0.6
	// How often a file that no descriptor is left for is tried again; what it tells counts 4 s after the signal.
	retryEvery = 50 * time.Millisecond
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "reedlead:", err)
		os.Exit(1)
	}
}

func run() error {
	path := os.Getenv("EDGE_CONFIG")
	if path == "" {
		return fmt.Errorf("EDGE_CONFIG names no configuration file")
	}
	signal.Ignore(syscall.SIGPIPE) // a log that nobody reads any more must not end the process
	hup := make(chan os.Signal, 1) // one that waits stands for all: the file is read when it is taken
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cfg, err := netcalls.RetryAtStart(ctx, time.Sleep, func() (config.Config, error) { return config.Read(path) })
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(processors)
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(cfg.MemoryMB<<20) * memoryShare))
	}
	level := slog.LevelInfo
	if text := os.Getenv("EDGE_LOG"); text != "" {
		if err := level.UnmarshalText([]byte(text)); err != nil {
			return fmt.Errorf("EDGE_LOG: %w", err)
		}
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("gateway", cfg.Name)
	reread := make(chan config.Config)
	done := make(chan struct{})
	defer close(done)
	go rereadOn(hup, done, path, cfg, reread, log)
	return proxy.Run(ctx, cfg, reread, log)
}

// rereadOn reads the configuration again at each signal and hands it on. What can't be read is logged,
// and the ingress goes on as it is.
func rereadOn(hup <-chan os.Signal, done <-chan struct{}, path string, first config.Config,
	to chan<- config.Config, log *slog.Logger,
) {
	for {
		select {
		case <-hup:
		case <-done:
			return
		}
		cfg, err := config.Read(path)
		for netcalls.IsTransient(err) { // the ingress may make room meanwhile; the signal must not be lost for it
			select {
			case <-time.After(retryEvery):
			case <-done:
				return
			}
			cfg, err = config.Read(path)
		}
		if err != nil {
			log.Error("configuration not taken over", "error", err)
			continue
		}
		if cfg.Differs(first) {
			log.Warn("of the new configuration only the address of discovery is taken over before a restart")
		}
		select {
		case to <- cfg:
		case <-done:
			return
		}
	}
}
