package reedmux.gatekeeper.script;

/** A method bound to the value that it is called on, such as {@code list.append}. */
record BoundMethod(Object receiver, String name) implements ScriptValues.ScriptCallable {}
