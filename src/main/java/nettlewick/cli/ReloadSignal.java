package nettlewick.cli;

import java.lang.reflect.Proxy;
import java.util.concurrent.Semaphore;

/**
 * Handles SIGHUP, which requests a reload of the configuration. It is installed first in {@code main}, because SIGHUP
 * ends the JVM by default, and keeps a signal pending until a reload action is registered.
 */
final class ReloadSignal {
    private static final Semaphore PENDING_RELOADS = new Semaphore(0);

    private ReloadSignal() {}

    /**
     * Installs the signal handler. Uses reflection, because the compiler warns about use of {@code sun.misc.Signal}.
     */
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
            System.err.println("nettlewick: cannot install the SIGHUP handler: " + e);
        }
    }

    /** Runs {@code reload} on each SIGHUP, even one received before this call; several pending signals run it once. */
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
