package nettlewick.ledger;

import com.google.gson.annotations.SerializedName;
import java.util.List;

/**
 * Usage of the tenants in one period; work is in slot-microseconds. The names of the components are printed as JSON.
 *
 * @param closed whether every dispatcher with entries in the period has closed its part
 * @param open   the dispatchers that have not closed their part
 * @param rows   by tenant and request class
 * @param late   changes to closed periods that were found later and are billed in this period
 * @param gaps   answered requests that could not be entered individually
 * @param voided corrections that have no effect, with the reason
 */
public record Statement(
        String period,
        boolean closed,
        List<String> open,
        List<Row> rows,
        List<Late> late,
        List<Gap> gaps,
        List<VoidedCorrection> voided) {
    /** Counts and work of a tenant in a request class; {@code billed} is net of corrections and repeated keys. */
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

    /** A change to a closed period: the number of entries and the work that they add. */
    public record Late(
            String closed,
            @SerializedName("member") String tenant,
            @SerializedName("jobClass") String requestClass,
            long entries,
            long work) {}

    /** Requests that were answered between two times and are not entered individually. */
    public record Gap(EntryRef ref, double from, double to, long jobs) {}

    /** A correction that has no effect. */
    public record VoidedCorrection(EntryRef ref, EntryRef target, String why) {}

    /** Total billed work, including late changes. */
    public long billed() {
        return rows.stream().mapToLong(Row::billed).sum()
                + late.stream().mapToLong(Late::work).sum();
    }
}
