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

// settingsPollInterval is the interval at which the settings file is checked for
// changes that were not announced by a signal.
const settingsPollInterval = time.Second

// reconfigurer applies the settings that may change at run time.
type reconfigurer interface {
	Reconfigure(*settings.Gateway)
}

// watchSettings reloads the settings file on SIGHUP and whenever its content changes,
// until ctx ends. If the new settings are invalid, the current ones stay in force.
func watchSettings(ctx context.Context, path string, current *settings.Gateway, g reconfigurer, log *telemetry.Logger) error {
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	defer signal.Stop(sighups)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastContent, err := os.ReadFile(path)
	if err != nil {
		log.Warn("Could not read the settings file.", "path", path, "error", err.Error())
	}
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sighups:
			signalled = true
		case <-ticker.C:
		}
		content, err := os.ReadFile(path)
		if err != nil || bytes.Equal(content, lastContent) {
			if signalled {
				logNotReloaded(path, err, log)
			}
			continue
		}
		lastContent = content
		current = reloadSettings(path, current, g, log)
	}
}

// logNotReloaded reports the outcome of a SIGHUP after which nothing was reloaded:
// either the file could not be read, or its content is unchanged.
func logNotReloaded(path string, err error, log *telemetry.Logger) {
	if err != nil {
		log.Error("Could not read the settings file; the settings stay as they are.", "path", path, "error", err.Error())
		return
	}
	log.Info("The settings have not changed.", "path", path)
}

// reloadSettings loads and applies the settings file. It returns the settings that
// are now in force, which are the current ones if the file is invalid.
func reloadSettings(path string, current *settings.Gateway, g reconfigurer, log *telemetry.Logger) *settings.Gateway {
	changed, err := settings.LoadGateway(path)
	if err != nil {
		log.Error("The changed settings are not valid; the settings stay as they are.", "error", err.Error())
		return current
	}
	if needRestart := current.RestartRequired(changed); len(needRestart) > 0 {
		log.Warn("Some changed settings apply from the next start.", "settings", needRestart)
	}
	log.SetLevel(changed.Log.Level)
	g.Reconfigure(changed)
	log.Info("Applied changed settings.", "bounds", changed.Bounds, "seeds", len(changed.Seeds), "level", changed.Log.Level)
	return changed
}
