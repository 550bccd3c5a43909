package nettlewick.cli;

import com.beust.jcommander.Parameters;
import java.io.IOException;
import nettlewick.sim.WireCodec;
import nettlewick.sim.WireHost;

@Parameters(commandNames = "drill", commandDescription = "Serve the simulator's wire on standard input and output")
final class Drill implements Command {
    @Override
    public int run() {
        try {
            new WireHost().serve(System.in, System.out);
            return 0;
        } catch (WireCodec.Malformed e) {
            throw new Misuse(Main.FAILED, e.getMessage());
        } catch (IOException e) {
            throw new Misuse(Main.FAILED, "cannot read or write the wire: " + e.getMessage());
        }
    }
}
