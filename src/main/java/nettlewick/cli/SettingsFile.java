package nettlewick.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import nettlewick.core.Books;
import nettlewick.core.Clock;
import nettlewick.core.Witness;
import nettlewick.duty.Charge;
import nettlewick.duty.DutyService;
import nettlewick.duty.DutySettings;
import nettlewick.ledger.LedgerService;
import nettlewick.ledger.LedgerSettings;
import nettlewick.log.LogSetup;
import nettlewick.log.Part;
import nettlewick.net.Config;
import nettlewick.net.Front;
import nettlewick.pools.PoolsService;
import nettlewick.settings.BadSettings;
import nettlewick.settings.Settings;
import nettlewick.sse.EdgeConfig;
import nettlewick.sse.EdgeFront;

/** What the file of {@code serve --settings} adds. */
final class SettingsFile implements Additions {
    private static final Part LOG = Part.of("node");

    private final String file;
    private final Settings first;
    private LedgerService ledger;
    private DutyService duties;
    private PoolsService pools;

    SettingsFile(String file) {
        this.file = file;
        first = SettingsCommand.read(file);
        LogSetup.apply(first.block("log"));
    }

    @Override
    public void start(Config config, Clock clock) throws IOException {
        LedgerSettings settings = first.block("ledger").map(LedgerSettings::of).orElse(null);
        if (settings != null) {
            ledger = new LedgerService(config.name(), settings, clock, config.seed());
            ledger.start();
        }
        try {
            duties(config, clock);
        } catch (BadSettings e) {
            throw new Misuse(Main.MISUSED, e.getMessage());
        }
    }

    private void duties(Config config, Clock clock) throws IOException {
        if (first.block("duty").isPresent()) {
            Map<String, Charge> charges = Map.of();
            if (first.block("pools").isPresent()) {
                pools = new PoolsService(first.block("pools").get(), config.settings(), clock, config.seed());
                charges = pools.charges();
            }
            duties = DutyService.start(DutySettings.of(first.block("duty").get()), charges);
        } else if (first.block("pools").isPresent()) {
            throw first.block("pools").get().bad("member", "beside a block `duty`: its holders decide");
        }
    }

    @Override
    public void fronts(List<Front.Maker> fronts) {
        first.block("edge").map(EdgeConfig::of).ifPresent(edge -> fronts.add(base -> new EdgeFront(base, edge)));
    }

    @Override
    public Books books() {
        return ledger == null ? Books.NONE : ledger.books();
    }

    @Override
    public Witness witness() {
        return pools == null ? Witness.NONE : pools;
    }

    @Override
    public Runnable reread() {
        Settings next = SettingsCommand.whole(Settings.read(Path.of(file)));
        Runnable pooled = pools == null
                ? () -> {}
                : next.block("pools").map(pools::reread).orElse(() -> {});
        return () -> {
            LogSetup.apply(next.block("log"));
            if (ledger != null) {
                next.block("ledger").map(LedgerSettings::of).ifPresent(ledger::reload);
            }
            pooled.run();
            List<String> stay = first.needRestart(next);
            LOG.info("settings-reread", "settings reread" + (stay.isEmpty() ? "" : "; only a restart changes " + stay));
        };
    }

    @Override
    public void close() {
        if (duties != null) {
            duties.close();
        }
        if (pools != null) {
            pools.close();
        }
        if (ledger != null) {
            ledger.close();
        }
    }
}
