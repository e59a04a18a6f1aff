package relaydaemon

import "github.com/rs/zerolog"

// Reload reads the settings again. The log level changes at once, everything else at the next
// start. Invalid settings change nothing.
func (d *Daemon) Reload(path string) {
	settings, err := ReadSettings(path)
	if err != nil {
		d.logger.Error().Err(err).Msg("Settings refused. The previous ones stay in force.")
		return
	}
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		d.logger.Error().Err(err).Msg("Settings refused: log_level.")
		return
	}
	zerolog.SetGlobalLevel(level)
	d.logger.Info().Str("log_level", settings.LogLevel).Msg("Settings reloaded.")
}
