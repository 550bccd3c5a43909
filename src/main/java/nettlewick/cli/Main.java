package nettlewick.cli;

import java.io.IOException;
import nettlewick.sim.WireCodec;
import nettlewick.sim.WireHost;

/** Command line of the jar: {@code drill} serves the bench's wire on standard input and output. */
public final class Main {
    private Main() {
    }

    /** Runs the adapter; anything but {@code drill} prints the usage and exits with 2. */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("drill")) {
            System.err.println("usage: java -jar nettlewick.jar drill");
            System.exit(2);
        }
        try {
            new WireHost().serve(System.in, System.out);
        } catch (WireCodec.Malformed e) {
            System.err.println("nettlewick: " + e.getMessage());
            System.exit(1);
        } catch (IOException e) {
            System.err.println("nettlewick: cannot read or write the wire: " + e.getMessage());
            System.exit(1);
        }
    }
}
