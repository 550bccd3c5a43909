package nettlewick.net;

import com.google.gson.Gson;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import nettlewick.core.Books;
import nettlewick.core.Clock;

/** The stand-ins with a dispatcher among them. */
public final class StandIns extends nettlewick.standins.StandIns {
    private Node node;
    /** What keeps the books of the next dispatcher. */
    public Books books = Books.NONE;

    public StandIns() throws Exception {}

    Node node() {
        return node;
    }

    public Node start(Front.Maker... more) throws Exception {
        return start(config(), more);
    }

    public Node start(Map<String, Object> config, Front.Maker... more) throws Exception {
        List<Front.Maker> fronts = new ArrayList<>(List.of(PlatformFront::new));
        fronts.addAll(List.of(more));
        node = new Node(
                        Config.of(new Gson().toJson(config), Map.of()),
                        Clock.system(),
                        fronts.toArray(Front.Maker[]::new))
                .keep(books);
        get(node.start());
        if (hasRunners()) {
            until(node::holdsList);
        }
        return node;
    }

    /** Bytes for a socket: a job as a client hands it in. */
    public static Buffer job(String path, String id, String jobClass, String body, String... headers) {
        StringBuilder head = new StringBuilder("POST " + path + " HTTP/1.1\r\nHost: backend.local\r\n"
                + "X-Request-Id: " + id + "\r\nX-Class: " + jobClass
                + "\r\nX-Tenant: red\r\nX-Deadline: 4\r\n");
        for (String header : headers) {
            head.append(header).append("\r\n");
        }
        return Buffer.buffer(head + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    @Override
    public void close() {
        try {
            if (node != null) {
                get(node.close());
            }
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
        super.close();
    }
}
