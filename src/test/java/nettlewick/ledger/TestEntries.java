package nettlewick.ledger;

import nettlewick.core.UsageRecorder.Ending;
import nettlewick.ledger.Entry.Kind;

/** Creates entries for tests. */
final class TestEntries {
    private TestEntries() {}

    static Entry job(EntryRef ref, double at, String member, String key, Ending end, long work) {
        return new Entry(
                ref,
                Kind.JOB,
                at,
                member,
                "save-run",
                "r" + ref.number(),
                key,
                end,
                work,
                false,
                5,
                1,
                ref.number(),
                null,
                null,
                null);
    }

    static Entry served(EntryRef ref, double at, String member, long work) {
        return job(ref, at, member, null, Ending.SERVED, work);
    }

    static EntryRef ref(String dispatcher, long life, long number) {
        return new EntryRef(new ChainOrigin(dispatcher, life), number);
    }
}
