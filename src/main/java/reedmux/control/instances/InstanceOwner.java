package reedmux.control.instances;

/**
 * The registry that an instance sends its heartbeats to. If two reports on an instance conflict, the one with the
 * higher sequence takes precedence; if the sequences are equal, the one with the higher process id.
 *
 * @param sequence the sequence of the latest heartbeat that the registry is known to have received
 * @param processId the incarnation of the registry's process
 */
public record InstanceOwner(String instanceId, long sequence, long processId) {}
