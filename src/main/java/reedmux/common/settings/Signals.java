package reedmux.common.settings;

import java.lang.reflect.Proxy;
import java.util.function.Consumer;

/** Handlers for the signals that the platform sends. */
public final class Signals {

    private Signals() {}

    /**
     * Runs a task at each signal of a name, on a thread of the JVM. The JDK's class for signals is not part of its
     * documented interface, and the compiler warns of a direct use in a way that cannot be suppressed, so it is called
     * by reflection. Without it the program runs all the same, and the log says so.
     *
     * @param name the signal without {@code SIG}
     */
    public static void on(String name, Runnable task, Consumer<String> log) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    Signals.class.getClassLoader(), new Class<?>[] {handler}, (self, method, arguments) -> {
                        switch (method.getName()) {
                            case "handle" -> task.run();
                            case "equals" -> {
                                return self == arguments[0];
                            }
                            case "hashCode" -> {
                                return System.identityHashCode(self);
                            }
                            default -> {
                                return "at SIG" + name;
                            }
                        }
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
        } catch (ReflectiveOperationException | RuntimeException e) {
            log.accept("SIG" + name + " is not handled here: " + e);
        }
    }
}
