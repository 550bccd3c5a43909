package nettlewick.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Base64;
import nettlewick.decision.Action;
import nettlewick.decision.Action.Cancel;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Action.Fail;
import nettlewick.decision.Action.Probe;
import nettlewick.decision.Action.Reject;
import nettlewick.decision.Action.SendToPeer;
import nettlewick.decision.Action.SetTimer;

/** Writes the reply to one batch, group by group. */
final class ReplyWriter {
    private final JsonGenerator json;

    ReplyWriter(JsonFactory factory, OutputStream out, long batchNumber) throws IOException {
        json = factory.createGenerator(out).disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
        json.writeStartObject();
        json.writeNumberField("batch", batchNumber);
        json.writeArrayFieldStart("groups");
    }

    void startGroup(int instance) throws IOException {
        json.writeStartObject();
        json.writeNumberField("dispatcher_id", instance);
        json.writeArrayFieldStart("orders");
    }

    void endGroup() throws IOException {
        json.writeEndArray();
        json.writeEndObject();
    }

    /** Ends the reply and its line; the underlying stream stays open. */
    void endReply() throws IOException {
        json.writeEndArray();
        json.writeEndObject();
        json.writeRaw('\n');
        json.close();
    }

    /** Reports that an instance failed to handle its events. */
    void writeFault(String cause) throws IOException {
        startOrder("INTERNAL_ERROR");
        json.writeStringField("msg", cause);
        json.writeEndObject();
    }

    void write(Action action) throws IOException {
        if (action instanceof Dispatch dispatch) {
            startOrder("RELAY");
            json.writeStringField("txn", dispatch.id());
            json.writeStringField("worker", dispatch.endpointId());
            writeIfPositive("patience", dispatch.timeoutNanos());
        } else if (action instanceof Reject reject) {
            startOrder("OVERLOAD_REPLY");
            json.writeStringField("txn", reject.id());
            writeIfPositive("backoff", reject.retryAfterNanos());
        } else if (action instanceof Fail fail) {
            startOrder("DROP_REQUEST");
            json.writeStringField("txn", fail.id());
        } else if (action instanceof Cancel cancel) {
            startOrder("UNDO_SEND");
            json.writeStringField("txn", cancel.id());
            json.writeNumberField("seq_no", cancel.attempt());
        } else if (action instanceof Probe probe) {
            startOrder("PING");
            json.writeStringField("worker", probe.endpoint());
        } else if (action instanceof SendToPeer message) {
            startOrder("BROADCAST_TO");
            json.writeNumberField("neighbour_id", message.rank());
            json.writeStringField("data", Base64.getEncoder().encodeToString(message.data()));
        } else if (action instanceof SetTimer timer) {
            startOrder("REMIND");
            json.writeNumberField("wait", timer.delayNanos());
            json.writeStringField("mark", timer.name());
        } else {
            startOrder("SUBSCRIBE");
            json.writeBooleanField("enable", true);
        }
        json.writeEndObject();
    }

    private void startOrder(String type) throws IOException {
        json.writeStartObject();
        json.writeStringField("type", type);
    }

    private void writeIfPositive(String field, long value) throws IOException {
        if (value > 0) {
            json.writeNumberField(field, value);
        }
    }
}
