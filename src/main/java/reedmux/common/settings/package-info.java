/**
 * The settings file of one process and the handling of signals from the platform.
 *
 * <p>{@link reedmux.common.settings.ProcessSettings} holds the settings; {@link reedmux.common.settings.SettingKeys}
 * documents the keys. {@link reedmux.common.settings.TomlParser} parses the file, which may hold any TOML. Errors
 * name the file, line and key ({@link reedmux.common.settings.ProcessSettingsException}).
 */
package reedmux.common.settings;
