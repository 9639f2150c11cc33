package reedmux.common.settings;

/** One of the system's programs, as the platform sees it. Called on its reactor's thread. */
public interface Program {

    /** The platform wants it to end. */
    void beginShutdown();

    /** The settings file has changed; what it says now can be used. */
    void reload(ProcessSettings next) throws ProcessSettingsException;
}
