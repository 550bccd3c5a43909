package nettlewick.core;

/** Attempts as tests of what listens to the core need them. */
public final class Attempts {
    private Attempts() {}

    public static Attempt of(Request request, String endpoint) {
        return new Attempt(request, 0, endpoint, 0, Double.MAX_VALUE, () -> true);
    }
}
