/**
 * The settings file of one process and the handling of signals from the platform.
 *
 * <p>{@link reedmux.common.settings.ProcessSettings} holds the settings; {@link reedmux.common.settings.SettingKeys}
 * documents the keys. The file is parsed by a hand-written parser because that keeps process startup fastest. Errors
 * name the file, line and key ({@link reedmux.common.settings.ProcessSettingsException}).
 */
package reedmux.common.settings;
