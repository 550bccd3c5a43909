/** Settings of a small deployment, in the names of the wire page; the figures are those of the two deployments. */
final class Settings {
    private boolean secondCopies = true;
    private int attempts = 6;
    private String zones = "\"posta\",\"kariakoo\"";
    private String zone = "posta";
    private String classes = requestClass("step-view", 600, 5000, 1, "retryable", "all", 5000) + ","
            + requestClass("graph-render", 1250, 6000, 5, "retryable", "all", 5000) + ","
            + requestClass("save-run", 1600, 10000, 3, "dedup", "zone", 15000) + ","
            + requestClass("mark-submit", 600, 5000, 10, "fragile", "all", 5000);
    private int classCount = 4;
    private String tenants = "{\"name\":\"college-nord\",\"fraction\":0.6,\"quota_per_s\":400.0},"
            + "{\"name\":\"lycee-plaines\",\"fraction\":0.4,\"quota_per_s\":400.0}";

    static String requestClass(
            String name, long aim, long deadline, double worth, String repeat, String scope, long window) {
        return "{\"name\":\"" + name + "\",\"aim\":" + aim + "000000,\"deadline\":" + deadline + "000000,\"worth\":"
                + worth + ",\"repeat\":\"" + repeat + "\",\"dedup_scope\":\"" + scope + "\",\"window\":" + window
                + "000000,\"late_worth\":0.0,\"stream\":false}";
    }

    /** The members' deployment: no two attempts of a request at once, five attempts, long jobs. */
    static Settings darMembers() {
        Settings settings = new Settings();
        settings.secondCopies = false;
        settings.attempts = 5;
        settings.classes = requestClass("statement", 400, 10000, 3, "retryable", "all", 10000) + ","
                + requestClass("roll-rebuild", 1500, 25000, 5, "retryable", "all", 25000) + ","
                + requestClass("dues-post", 1200, 20000, 5, "dedup", "zone", 30000) + ","
                + requestClass("transfer", 1500, 25000, 10, "fragile", "all", 25000);
        settings.tenants = "{\"name\":\"gymkhana-dar\",\"fraction\":0.6,\"quota_per_s\":400.0},"
                + "{\"name\":\"arusha-sports\",\"fraction\":0.4,\"quota_per_s\":400.0}";
        return settings;
    }

    /** The same with another deadline for a class. */
    Settings deadline(String name, long from, long to) {
        int at = classes.indexOf("\"" + name + "\"");
        classes = classes.substring(0, at)
                + classes.substring(at)
                        .replaceFirst("\"deadline\":" + from + "000000", "\"deadline\":" + to + "000000");
        return this;
    }

    String json() {
        String each = ",2.0".repeat(classCount).substring(1);
        String none = ",-1".repeat(classCount).substring(1);
        String zero = ",0".repeat(classCount).substring(1);
        return "{\"ceilings\":{\"attempts_cap\":" + attempts + ",\"cancel\":true,\"conn_idle\":5000000000,"
                + "\"connect_timeout\":250000000,\"cpu_us_per_request\":0.0,\"cpu_us_per_s\":56237,\"max_open\":28118,"
                + "\"max_retry_after\":2000000000,\"peers\":true,\"probes\":true,\"retry_after\":true,"
                + "\"second_copies\":" + secondCopies + ",\"streams_per_conn\":1},\"classes\":[" + classes
                + "],\"client_habits\":{\"marks_retry\":true},\"family_info\":{\"class_kind\":[" + none
                + "],\"class_priority\":[" + zero + "],\"class_stretch\":[" + each + "],\"progress\":1000000000,"
                + "\"queue_order\":\"fifo\",\"tells_start\":true,\"report_x0\":\"free slots\","
                + "\"report_x1\":\"free memory\"},\"fleet_size\":1,\"granularity\":5000000,"
                + "\"kind_of_service\":\"jobs\",\"layer\":0,\"membership_mode\":\"pushed\",\"models\":[\"std-2c\"],"
                + "\"over_share_worth\":0.1,\"rank\":0,"
                + "\"report\":{\"names\":[\"depth\",\"concurrent\",\"x0\",\"x1\"],\"source\":\"on_probe\"},"
                + "\"rules\":{\"answer_slack\":20000000,\"ask_within\":10000000000,\"cold\":8900000000,"
                + "\"cold_share\":0.32,\"drain_grace\":250000000,\"fall\":1000000000,\"overload_factor\":3.0},"
                + "\"tenants\":[" + tenants + "],\"tiers\":[\"workers\"],\"weights\":\"nominal\",\"worth_by\":\"work\","
                + "\"zone\":\"" + zone + "\",\"zones\":[" + zones + "]}";
    }
}
