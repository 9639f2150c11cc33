package reedmux.common.settings;

/** A program that a process runs, such as the proxy or the store. Both methods run on its reactor's thread. */
public interface Program {

    /** Begins a graceful shutdown, as on SIGTERM; the program stops its reactor when the shutdown is complete. */
    void beginShutdown();

    /**
     * Applies changed settings.
     *
     * @throws ProcessSettingsException if the settings are invalid; the program then keeps the current ones
     */
    void reload(ProcessSettings next) throws ProcessSettingsException;
}
