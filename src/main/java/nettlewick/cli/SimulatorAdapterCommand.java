package nettlewick.cli;

import com.beust.jcommander.Parameters;
import java.io.IOException;
import nettlewick.simulator.MalformedMessageException;
import nettlewick.simulator.SimulatorAdapter;

/** Connects to the platform's simulator through standard input and output. */
@Parameters(commandDescription = "Serve the simulator's wire on standard input and output")
final class SimulatorAdapterCommand implements Command {
    @Override
    public int run() {
        try {
            new SimulatorAdapter().serve(System.in, System.out);
            return 0;
        } catch (MalformedMessageException e) {
            throw new CommandException(Main.EXIT_FAILURE, e.getMessage());
        } catch (IOException e) {
            throw new CommandException(Main.EXIT_FAILURE, "simulator connection failed: " + e.getMessage());
        }
    }
}
