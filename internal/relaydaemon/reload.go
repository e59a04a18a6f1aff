package relaydaemon

import "github.com/rs/zerolog"

// Reload reads the settings again. The level of the log changes at once; all
// else holds from the next start on. Settings that are wrong change nothing.
func (d *Daemon) Reload(path string) {
	settings, err := ReadSettings(path)
	if err != nil {
		d.logger.Error().Err(err).Msg("Settings refused. Those before stay in force.")
		return
	}
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		d.logger.Error().Err(err).Msg("Settings refused: log_level.")
		return
	}
	zerolog.SetGlobalLevel(level)
	d.logger.Info().Str("log_level", settings.LogLevel).Msg("Settings read again.")
}
