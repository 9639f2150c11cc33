package reedmux.gatekeeper.script;

/** A method together with the value that it is called on, such as {@code list.append}. */
record BoundMethod(Object receiver, String name) implements ScriptValues.ScriptCallable {}
