package nettlewick.ledger;

import com.google.gson.annotations.SerializedName;
import java.util.List;

/**
 * What members used in one period. Work is in slot-microseconds.
 *
 * @param closed whether every dispatcher that has entries in it has closed its part
 * @param open   the dispatchers that have not
 * @param rows   by member and class
 * @param late   what is found later and belongs to closed periods: it counts here, and names them
 * @param gaps   jobs that were answered and could not be entered one by one
 * @param voided corrections that do not count, each with why
 */
public record Statement(
        String period,
        boolean closed,
        List<String> open,
        List<Row> rows,
        List<Late> late,
        List<Gap> gaps,
        List<VoidedCorrection> voided) {
    /** Counts and work of a member in a class; {@code billed} is net of corrections and repeated keys. */
    public record Row(
            @SerializedName("member") String tenant,
            @SerializedName("jobClass") String requestClass,
            long served,
            long refused,
            long failed,
            long left,
            long billed,
            long estimated,
            long spare,
            long doubts,
            long doubtWork,
            long repeats) {}

    /** A difference that belongs to a closed period: how many entries, and what they add. */
    public record Late(
            String closed,
            @SerializedName("member") String tenant,
            @SerializedName("jobClass") String requestClass,
            long entries,
            long work) {}

    /** Answered between those times. */
    public record Gap(EntryRef ref, double from, double to, long jobs) {}

    /** A correction that does not count. */
    public record VoidedCorrection(EntryRef ref, EntryRef target, String why) {}

    /** All that is billed here, late differences too. */
    public long billed() {
        return rows.stream().mapToLong(Row::billed).sum()
                + late.stream().mapToLong(Late::work).sum();
    }
}
