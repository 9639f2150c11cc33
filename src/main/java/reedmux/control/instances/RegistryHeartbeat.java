package reedmux.control.instances;

/**
 * A heartbeat of a registry, sent by that registry or forwarded by another one.
 *
 * @param processId the incarnation of the registry's process
 * @param count the heartbeat counter of the process, which increases by one with each heartbeat
 */
public record RegistryHeartbeat(long processId, long count) {}
