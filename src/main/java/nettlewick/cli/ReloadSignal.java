package nettlewick.cli;

import java.lang.reflect.Proxy;
import java.util.concurrent.Semaphore;

/**
 * Catches SIGHUP, which asks for a reload of the configuration, from the first line of {@code main} on, and keeps it
 * until a handler is there. Left to the JVM, the signal would end the process.
 */
final class ReloadSignal {
    private static final Semaphore PENDING = new Semaphore(0);

    private ReloadSignal() {}

    /** Starts to catch the signal. By reflection, since the compiler warns of the class's name. */
    static void install() {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object release = Proxy.newProxyInstance(
                    handler.getClassLoader(), new Class<?>[] {handler}, (proxy, method, arguments) -> {
                        PENDING.release();
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), release);
        } catch (ReflectiveOperationException e) {
            System.err.println("nettlewick: SIGHUP cannot be caught here: " + e);
        }
    }

    /** Runs {@code reload} for each SIGHUP, also one that came before this call; several at once count as one. */
    static void onSignal(Runnable reload) {
        Thread thread = new Thread(
                () -> {
                    while (true) {
                        PENDING.acquireUninterruptibly();
                        PENDING.drainPermits();
                        reload.run();
                    }
                },
                "hangup");
        thread.setDaemon(true);
        thread.start();
    }
}
