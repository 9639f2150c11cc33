package reedmux.control.registry;

import reedmux.control.instances.InstanceIncarnation;

/** A call to the control API, parsed and validated by {@link ControlCallParser}. */
sealed interface ControlCall {

    /** An instance reports its address, capacity and phase. */
    record HeartbeatCall(InstanceIncarnation incarnation) implements ControlCall {}

    /** An instance reports that it has shut down. */
    record InstanceLeaveCall(String id) implements ControlCall {}

    /** An operator removes a machine from the core. */
    record CoreLeaveCall(String node) implements ControlCall {}

    /**
     * An operator requests a status report from this machine.
     *
     * @param subject the subject of the report, one of {@link ControlCallParser#SHOW_SUBJECTS}
     * @param service for {@code Checkers}, returns only the instances of this service; empty for all services
     * @param afterName returns only entries whose names sort after this name; empty for the first page
     * @param limit the maximum number of entries to return
     */
    record ShowCall(String subject, String service, String afterName, int limit) implements ControlCall {}

    /** An operator changes configuration items; {@code body} is the change as JSON. */
    record ConfigAdjustCall(String body) implements ControlCall {}

    /** An operator reads all configuration items. */
    record ConfigReadCall() implements ControlCall {}
}
