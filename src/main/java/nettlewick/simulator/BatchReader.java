package nettlewick.simulator;

import static nettlewick.simulator.JsonValues.expect;
import static nettlewick.simulator.JsonValues.required;
import static nettlewick.simulator.JsonValues.wholeNumber;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import nettlewick.simulator.Batch.Group;
import nettlewick.simulator.Batch.Item;

/** Reads batches from lines. Remembers the endpoint lists that batches name by a slot. */
final class BatchReader {
    private final JsonFactory json;
    private final EventReader events = new EventReader();

    BatchReader(JsonFactory json) {
        this.json = json;
    }

    /**
     * Reads one line.
     *
     * @throws MalformedMessageException for a line that is not a batch
     */
    Batch read(String line) {
        try (JsonParser parser = json.createParser(line)) {
            return batch(parser);
        } catch (IOException e) {
            throw new MalformedMessageException("not JSON: " + e.getMessage());
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException(e.getMessage());
        }
    }

    private Batch batch(JsonParser parser) throws IOException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw new MalformedMessageException("a batch is an object");
        }
        Long now = null;
        Long number = null;
        List<Group> groups = null;
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "wall" -> now = wholeNumber(parser, "batch", name);
                case "batch" -> number = wholeNumber(parser, "batch", name);
                case "groups" -> groups = groups(parser);
                default -> parser.skipChildren();
            }
        }
        if (parser.nextToken() != null) {
            throw new MalformedMessageException("something follows the batch on its line");
        }
        return new Batch(
                required(now, "batch", "wall"),
                required(number, "batch", "batch"),
                required(groups, "batch", "groups"));
    }

    private List<Group> groups(JsonParser parser) throws IOException {
        List<Group> groups = new ArrayList<>();
        expect(parser, JsonToken.START_ARRAY, "groups");
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            expect(parser, JsonToken.START_OBJECT, "a group");
            groups.add(group(parser));
        }
        return groups;
    }

    private Group group(JsonParser parser) throws IOException {
        Long instance = null;
        List<Item> items = null;
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "dispatcher_id" -> instance = wholeNumber(parser, "group", name);
                case "items" -> items = items(parser);
                default -> parser.skipChildren();
            }
        }
        return new Group(required(instance, "group", "dispatcher_id").intValue(), required(items, "group", "items"));
    }

    private List<Item> items(JsonParser parser) throws IOException {
        List<Item> items = new ArrayList<>();
        expect(parser, JsonToken.START_ARRAY, "items");
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            expect(parser, JsonToken.START_OBJECT, "an event");
            events.read(new MessageFields("event", JsonValues.object(parser))).ifPresent(items::add);
        }
        return items;
    }
}
