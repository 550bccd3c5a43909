package oliveroute;

import java.io.IOException;

/** Command line of the jar: {@code wirehost} serves the bench's wire on standard input and output. */
public final class Main {
    private Main() {
    }

    /** Runs the adapter; anything but {@code wirehost} prints the usage and exits with 2. */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("wirehost")) {
            System.err.println("usage: java -jar oliveroute.jar wirehost");
            System.exit(2);
        }
        try {
            new WireHost().serve(System.in, System.out);
        } catch (WireCodec.Malformed e) {
            System.err.println("oliveroute: " + e.getMessage());
            System.exit(1);
        } catch (IOException e) {
            System.err.println("oliveroute: cannot read or write the wire: " + e.getMessage());
            System.exit(1);
        }
    }
}
