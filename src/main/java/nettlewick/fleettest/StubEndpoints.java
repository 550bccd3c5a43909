package nettlewick.fleettest;

import io.vertx.core.Vertx;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.DoubleSupplier;
import nettlewick.stubs.EndpointModel;
import nettlewick.stubs.EndpointServer;

/**
 * The stub endpoints of a run and the addresses at which the dispatchers reach them, through relays if the scenario
 * wants that. Endpoints are added by one thread; models and addresses may be read by any.
 */
final class StubEndpoints {
    private static final String NET = Fleet.addressPrefix(2);
    /** Up to this many pairs of dispatcher and endpoint, each pair has its own relay listener. */
    private static final int MAX_SEPARATE_RELAYS = 4096;

    private final Scenario.FleetSettings fleetSettings;
    private final Vertx vertx;
    /** Null if connections to endpoints are direct. */
    private final TcpRelay tcpRelay;

    private final EndpointServer.Listener listener;
    private final DoubleSupplier clock;
    private final List<EndpointModel> models = new CopyOnWriteArrayList<>();
    private final List<EndpointServer> servers = new ArrayList<>();
    private final Map<EndpointServer, Integer> numbers = new ConcurrentHashMap<>();
    private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();

    StubEndpoints(
            Scenario.FleetSettings fleetSettings,
            Vertx vertx,
            TcpRelay tcpRelay,
            EndpointServer.Listener listener,
            DoubleSupplier clock) {
        this.fleetSettings = fleetSettings;
        this.vertx = vertx;
        this.tcpRelay = tcpRelay;
        this.listener = listener;
        this.clock = clock;
    }

    /** Starts an endpoint and names it by its number. */
    EndpointServer add(double bornAt) throws Exception {
        return add(bornAt, "s" + servers.size());
    }

    /** Starts an endpoint and opens its relays. */
    EndpointServer add(double bornAt, String name) throws Exception {
        int number = servers.size();
        EndpointModel model = new EndpointModel(
                name, fleetSettings.zone(number), fleetSettings.speed(number), fleetSettings.endpoint(), bornAt);
        EndpointServer server =
                new EndpointServer(Fleet.address(NET, number).getHostAddress(), model, vertx, listener, clock);
        InetSocketAddress direct = server.listen();
        for (int dispatcher = 0; dispatcher < fleetSettings.dispatchers(); dispatcher++) {
            String key = addressKey(dispatcher, number);
            if (!addresses.containsKey(key)) {
                addresses.put(key, relayedAddress(dispatcher, number, direct));
            }
        }
        numbers.put(server, number);
        servers.add(server);
        models.add(model);
        return server;
    }

    private InetSocketAddress relayedAddress(int dispatcher, int number, InetSocketAddress direct) throws Exception {
        return tcpRelay == null ? direct : tcpRelay.open(relayGroup(dispatcher), party(number), direct);
    }

    /** Returns the address at which a dispatcher reaches an endpoint. */
    InetSocketAddress address(int dispatcher, EndpointServer server) {
        return addresses.get(addressKey(dispatcher, numbers.get(server)));
    }

    private String addressKey(int dispatcher, int number) {
        return (tcpRelay == null ? "" : relayGroup(dispatcher) + " ") + number;
    }

    /** Returns the first dispatcher of the group that shares a relay listener. */
    private int relayGroup(int dispatcher) {
        return fleetSettings.dispatchers() * fleetSettings.endpoints() <= MAX_SEPARATE_RELAYS
                ? dispatcher
                : dispatcher % fleetSettings.zones().size();
    }

    /** Returns the number of an endpoint among all parties of {@link LinkFaults}. */
    int party(int number) {
        return fleetSettings.dispatchers() + number;
    }

    EndpointServer server(int number) {
        return servers.get(number);
    }

    EndpointModel model(int number) {
        return models.get(number);
    }

    /** Returns the models of all endpoints, a list that grows with them. */
    List<EndpointModel> models() {
        return models;
    }
}
