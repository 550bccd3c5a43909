package nettlewick.cli;

import java.lang.reflect.Proxy;
import java.util.concurrent.Semaphore;

/**
 * SIGHUP: the configuration is to be read again. Caught from the first line of {@code main} on and kept until
 * somebody asks. Danger: left to the JVM, it ends the process like SIGTERM.
 */
final class ReloadSignal {
    private static final Semaphore PENDING = new Semaphore(0);

    private ReloadSignal() {}

    /** By reflection: the class is in the JDK's supported module, but the compiler warns of its name. */
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

    /** Runs {@code reread} for each SIGHUP, those before now too; several in a row count as one. */
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
