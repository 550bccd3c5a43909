package nettlewick.core;

/** Creates attempts for tests of {@link RequestListener}s in other packages. */
public final class TestAttempts {
    private TestAttempts() {}

    public static Attempt create(Request request, String endpoint) {
        return new Attempt(request, 0, endpoint, 0, Double.MAX_VALUE, () -> true);
    }
}
