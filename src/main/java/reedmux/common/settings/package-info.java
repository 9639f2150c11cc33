/**
 * The settings file of one process ({@link reedmux.common.settings.ProcessSettings}, keys in
 * {@link reedmux.common.settings.SettingKeys}), parsed by hand as that is fastest at a start, and the signals that the
 * platform sends. Errors name file, line and key ({@link reedmux.common.settings.ProcessSettingsException}).
 */
package reedmux.common.settings;
