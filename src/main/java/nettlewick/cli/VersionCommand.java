package nettlewick.cli;

import com.beust.jcommander.Parameters;

/** Prints the version. */
@Parameters(commandDescription = "Print the version")
final class VersionCommand implements Command {
    @Override
    public int run() {
        String version = VersionCommand.class.getPackage().getImplementationVersion();
        System.out.println("nettlewick " + (version == null ? "(not packaged)" : version));
        return 0;
    }
}
