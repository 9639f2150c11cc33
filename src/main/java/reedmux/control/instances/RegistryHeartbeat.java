package reedmux.control.instances;

/**
 * A heartbeat of a registry, as it is or forwarded.
 *
 * @param processId the registry's process, by its incarnation
 * @param count rises by one with each heartbeat of the process
 */
public record RegistryHeartbeat(long processId, long count) {}
