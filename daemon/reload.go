package daemon

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"hyssoploom/settings"
	"hyssoploom/telemetry"
)

// settingsInterval is the pause between looks at the settings file, which may
// change without a signal.
const settingsInterval = time.Second

// reconfigurable takes over what may change in the settings while it runs.
type reconfigurable interface {
	Reconfigure(*settings.Gateway)
}

// followSettings applies changes of the settings file until ctx ends: at SIGHUP,
// and when the content has changed without one. Invalid settings leave those in
// force that are.
func followSettings(ctx context.Context, path string, current *settings.Gateway, g reconfigurable, log *telemetry.Logger) error {
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	defer signal.Stop(hups)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	known, err := os.ReadFile(path)
	if err != nil {
		log.Warn("Could not read the settings file.", "path", path, "error", err.Error())
	}
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hups:
			signalled = true
		case <-ticker.C:
		}
		content, err := os.ReadFile(path)
		if err != nil || bytes.Equal(content, known) {
			if signalled {
				reportUnchanged(path, err, log)
			}
			continue
		}
		known = content
		current = reload(path, current, g, log)
	}
}

func reportUnchanged(path string, err error, log *telemetry.Logger) {
	if err != nil {
		log.Error("Could not read the settings file; the settings stay as they are.", "path", path, "error", err.Error())
		return
	}
	log.Info("The settings have not changed.", "path", path)
}

// reload applies the settings file and returns the settings in force.
func reload(path string, current *settings.Gateway, g reconfigurable, log *telemetry.Logger) *settings.Gateway {
	changed, err := settings.LoadGateway(path)
	if err != nil {
		log.Error("The changed settings are not valid; the settings stay as they are.", "error", err.Error())
		return current
	}
	if fixed := current.RestartRequired(changed); len(fixed) > 0 {
		log.Warn("Some changed settings apply from the next start.", "settings", fixed)
	}
	log.SetLevel(changed.Log.Level)
	g.Reconfigure(changed)
	log.Info("Applied changed settings.", "bounds", changed.Bounds, "seeds", len(changed.Seeds), "level", changed.Log.Level)
	return changed
}
