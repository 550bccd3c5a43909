package nettlewick.cli;

import java.lang.reflect.Proxy;
import java.util.concurrent.Semaphore;

/**
 * Catches SIGHUP, which asks for a reload of the configuration, from the first line of {@code main} on, and keeps it
 * until a handler is there. Left to the JVM, the signal would end the process.
 */
final class ReloadSignal {
    private static final Semaphore PENDING_RELOADS = new Semaphore(0);

    private ReloadSignal() {}

    /** Starts to catch the signal. By reflection, since the compiler warns of the class's name. */
    static void install() {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object handler = Proxy.newProxyInstance(
                    handlerClass.getClassLoader(), new Class<?>[] {handlerClass}, (proxy, method, arguments) -> {
                        PENDING_RELOADS.release();
                        return null;
                    });
            signalClass
                    .getMethod("handle", signalClass, handlerClass)
                    .invoke(null, signalClass.getConstructor(String.class).newInstance("HUP"), handler);
        } catch (ReflectiveOperationException e) {
            System.err.println("nettlewick: SIGHUP cannot be caught here: " + e);
        }
    }

    /** Runs {@code reload} for each SIGHUP, also one that came before this call; several at once count as one. */
    static void onSignal(Runnable reload) {
        Thread thread = new Thread(
                () -> {
                    while (true) {
                        PENDING_RELOADS.acquireUninterruptibly();
                        PENDING_RELOADS.drainPermits();
                        reload.run();
                    }
                },
                "hangup");
        thread.setDaemon(true);
        thread.start();
    }
}
