package nettlewick.decision;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettlewick.decision.State.Worker;

/**
 * What a dispatcher tells the others of its own slots in work at each worker: exact, and as old as a
 * datagram, where a report is a second old. A worker goes by its place among the ready ones, by name.
 */
final class LoadNote {
    private static final byte MAGIC = (byte) 0xD3;
    private static final byte VERSION = 1;
    private static final int HEAD = 3;
    private static final int ENTRY = 2;
    /** The longest message that may be sent. */
    private static final int MOST = 256;
    private static final int BYTE = 255;

    private LoadNote() {
    }

    /** The message on all of these workers that hold something. */
    static byte[] bytes(List<Worker> ready) {
        ByteBuffer b = ByteBuffer.allocate(MOST);
        b.put(MAGIC).put(VERSION).put((byte) ready.size());
        for (int i = 0; i < Math.min(BYTE, ready.size()); i++) {
            int slots = (int) Math.min(BYTE, Math.ceil(ready.get(i).outSlots - 1e-9));
            if (slots > 0 && b.remaining() >= ENTRY) {
                b.put((byte) i).put((byte) slots);
            }
        }
        byte[] bytes = new byte[b.position()];
        b.flip().get(bytes);
        return bytes;
    }

    static boolean is(byte[] data) {
        return data.length >= HEAD && data.length <= MOST && data[0] == MAGIC && data[1] == VERSION
                && (data.length - HEAD) % ENTRY == 0;
    }

    /** Slots in work by worker; null if the sender's list of ready workers is another than this. */
    static Map<Worker, Integer> of(byte[] data, List<Worker> ready) {
        // Danger: while news of the list is under way, places mean other workers at the other end.
        if (data[2] != (byte) ready.size()) {
            return null;
        }
        Map<Worker, Integer> slots = new HashMap<>();
        ByteBuffer b = ByteBuffer.wrap(data).position(HEAD);
        while (b.hasRemaining()) {
            int place = b.get() & BYTE;
            int held = b.get() & BYTE;
            if (place < ready.size()) {
                slots.put(ready.get(place), held);
            }
        }
        return slots;
    }
}
