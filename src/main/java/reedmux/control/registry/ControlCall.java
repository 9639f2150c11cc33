package reedmux.control.registry;

import reedmux.control.instances.InstanceIncarnation;

/** A call of the control API whose form is valid, as {@link ControlCallParser} reads it. */
sealed interface ControlCall {

    /** An instance reports itself. */
    record HeartbeatCall(InstanceIncarnation incarnation) implements ControlCall {}

    /** An instance ends. */
    record InstanceLeaveCall(String id) implements ControlCall {}

    /** The operator removes a machine from the core. */
    record CoreLeaveCall(String node) implements ControlCall {}

    /**
     * The operator asks what this machine knows.
     *
     * @param subject what to report on: one of {@link ControlCallParser#SHOW_SUBJECTS}
     * @param service of {@code Checkers}, only those of this service; empty for all
     * @param afterName the entries start behind this name; empty for the first ones
     * @param limit the most entries to return
     */
    record ShowCall(String subject, String service, String afterName, int limit) implements ControlCall {}

    /** The operator changes items; the body is their JSON. */
    record ConfigAdjustCall(String body) implements ControlCall {}

    /** The operator reads all items. */
    record ConfigReadCall() implements ControlCall {}
}
