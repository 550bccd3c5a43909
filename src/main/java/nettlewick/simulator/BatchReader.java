package nettlewick.simulator;

import static nettlewick.simulator.JsonValues.readWholeNumber;
import static nettlewick.simulator.JsonValues.requirePresent;
import static nettlewick.simulator.JsonValues.requireToken;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import nettlewick.simulator.Batch.Group;
import nettlewick.simulator.Batch.Item;

/** Parses lines into batches. Keeps the endpoint lists that later batches refer to by slot number. */
final class BatchReader {
    private final JsonFactory jsonFactory;
    private final EventReader eventReader = new EventReader();

    BatchReader(JsonFactory jsonFactory) {
        this.jsonFactory = jsonFactory;
    }

    /**
     * Parses one line.
     *
     * @throws MalformedMessageException if the line is not a valid batch
     */
    Batch read(String line) {
        try (JsonParser parser = jsonFactory.createParser(line)) {
            return readBatch(parser);
        } catch (IOException e) {
            throw new MalformedMessageException("not JSON: " + e.getMessage());
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException(e.getMessage());
        }
    }

    private Batch readBatch(JsonParser parser) throws IOException {
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
                case "wall" -> now = readWholeNumber(parser, "batch", name);
                case "batch" -> number = readWholeNumber(parser, "batch", name);
                case "groups" -> groups = readGroups(parser);
                default -> parser.skipChildren();
            }
        }
        if (parser.nextToken() != null) {
            throw new MalformedMessageException("something follows the batch on its line");
        }
        return new Batch(
                requirePresent(now, "batch", "wall"),
                requirePresent(number, "batch", "batch"),
                requirePresent(groups, "batch", "groups"));
    }

    private List<Group> readGroups(JsonParser parser) throws IOException {
        List<Group> groups = new ArrayList<>();
        requireToken(parser, JsonToken.START_ARRAY, "groups");
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            requireToken(parser, JsonToken.START_OBJECT, "a group");
            groups.add(readGroup(parser));
        }
        return groups;
    }

    private Group readGroup(JsonParser parser) throws IOException {
        Long instance = null;
        List<Item> items = null;
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "dispatcher_id" -> instance = readWholeNumber(parser, "group", name);
                case "items" -> items = readItems(parser);
                default -> parser.skipChildren();
            }
        }
        return new Group(
                requirePresent(instance, "group", "dispatcher_id").intValue(), requirePresent(items, "group", "items"));
    }

    private List<Item> readItems(JsonParser parser) throws IOException {
        List<Item> items = new ArrayList<>();
        requireToken(parser, JsonToken.START_ARRAY, "items");
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            requireToken(parser, JsonToken.START_OBJECT, "an event");
            eventReader
                    .read(new MessageFields("event", JsonValues.readObject(parser)))
                    .ifPresent(items::add);
        }
        return items;
    }
}
