package nettlewick.cli;

import java.util.Arrays;

/** The names of the sub-commands. Former names remain as aliases, because deploy files and scripts use them. */
enum SubCommand {
    SERVE("serve"),
    SIMULATOR_ADAPTER("simulator-adapter", "drill"),
    REPLAY("replay"),
    DEMO("demo"),
    LEDGER("ledger"),
    SETTINGS("settings"),
    FLEET_TEST("fleet-test", "lab"),
    VERSION("version"),
    WARM_UP("warm-up", "warm");

    private final String mainName;
    private final String[] aliases;

    SubCommand(String mainName, String... aliases) {
        this.mainName = mainName;
        this.aliases = aliases;
    }

    String mainName() {
        return mainName;
    }

    String[] aliases() {
        return aliases.clone();
    }

    boolean hasName(String name) {
        return mainName.equals(name) || Arrays.asList(aliases).contains(name);
    }

    /** Creates the command without loading the classes of other commands, for a fast start. */
    Command create() {
        return switch (this) {
            case SERVE -> new ServeCommand();
            case SIMULATOR_ADAPTER -> new SimulatorAdapterCommand();
            case REPLAY -> new ReplayCommand();
            case DEMO -> new DemoCommand();
            case LEDGER -> new LedgerCommand();
            case SETTINGS -> new SettingsCommand();
            case FLEET_TEST -> new FleetTestCommand();
            case VERSION -> new VersionCommand();
            case WARM_UP -> new WarmUpCommand();
        };
    }
}
