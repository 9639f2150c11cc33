package reedmux.control.instances;

/**
 * States which registry an instance sends its heartbeats to. Of two statements on one instance that with the higher
 * sequence counts, and of two with the same sequence that with the higher process.
 *
 * @param sequence of the heartbeat that the registry received
 * @param processId the registry's process, by its incarnation
 */
public record InstanceOwner(String instanceId, long sequence, long processId) {}
