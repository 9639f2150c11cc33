package reedmux.common.settings;

import java.lang.reflect.Proxy;
import java.util.function.Consumer;

/** Signals that the platform sends. */
public final class Signals {

    private Signals() {}

    /**
     * Runs this at each signal of a name, on a thread of its own. The JDK's class for signals is no part of
     * its documented interface, and a use of it in the text is a warning that nothing can silence; so it is
     * looked up, and where there is none the program starts all the same and says so.
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
