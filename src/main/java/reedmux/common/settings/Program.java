package reedmux.common.settings;

/** One of the system's programs as its process runs it. Both methods are called on its reactor's thread. */
public interface Program {

    /** Begins a graceful shutdown, as after SIGTERM; the program stops its reactor once that is over. */
    void beginShutdown();

    /**
     * Takes up changed settings.
     *
     * @throws ProcessSettingsException if they cannot be used; the program keeps the former ones
     */
    void reload(ProcessSettings next) throws ProcessSettingsException;
}
