package nettlewick.net;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.transport.Transport;

/** Creates the Vert.x instance of a dispatcher. */
final class VertxFactory {
    private VertxFactory() {}

    /** Creates an instance for a machine with one core and no disk: one event loop, no file cache and no DNS. */
    static Vertx create(Transport transport) {
        System.setProperty("vertx.disableDnsResolver", "true");
        // Netty's allocator would start the JDK flight recorder with its first buffer, which costs 0.2 s of CPU time at
        // each start.
        System.setProperty("io.netty.jfr.enabled", "false");
        return Vertx.builder()
                .with(new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1)
                        .setFileSystemOptions(new FileSystemOptions()
                                .setFileCachingEnabled(false)
                                .setClassPathResolvingEnabled(false)))
                .withTransport(transport)
                .build();
    }
}
