package nettlewick.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import nettlewick.core.Clock;
import nettlewick.core.RequestListener;
import nettlewick.core.UsageRecorder;
import nettlewick.lease.LeaseService;
import nettlewick.lease.LeaseSettings;
import nettlewick.lease.LeaseTask;
import nettlewick.ledger.LedgerService;
import nettlewick.ledger.LedgerSettings;
import nettlewick.log.ComponentLogger;
import nettlewick.log.LogSetup;
import nettlewick.net.Frontend;
import nettlewick.net.PlatformConfig;
import nettlewick.settings.InvalidSettingsException;
import nettlewick.settings.Settings;
import nettlewick.sse.EventStreamConfig;
import nettlewick.sse.EventStreamFrontend;
import nettlewick.tenantpools.TenantPoolsService;

/** What the file of {@code serve --settings} adds. */
final class SettingsFile implements OptionalFeatures {
    private static final ComponentLogger LOG = ComponentLogger.of("node");

    private final String file;
    private final Settings first;
    private LedgerService ledger;
    private LeaseService duties;
    private TenantPoolsService pools;

    SettingsFile(String file) {
        this.file = file;
        first = SettingsCommand.read(file);
        LogSetup.apply(first.block("log"));
    }

    @Override
    public void start(PlatformConfig config, Clock clock) throws IOException {
        LedgerSettings settings = first.block("ledger").map(LedgerSettings::of).orElse(null);
        if (settings != null) {
            ledger = new LedgerService(config.name(), settings, clock, config.seed());
            ledger.start();
        }
        try {
            duties(config, clock);
        } catch (InvalidSettingsException e) {
            throw new UsageException(Main.MISUSED, e.getMessage());
        }
    }

    private void duties(PlatformConfig config, Clock clock) throws IOException {
        if (first.block("duty").isPresent()) {
            Map<String, LeaseTask> charges = Map.of();
            if (first.block("pools").isPresent()) {
                pools = new TenantPoolsService(first.block("pools").get(), config.settings(), clock, config.seed());
                charges = pools.leaseTasks();
            }
            duties = LeaseService.start(LeaseSettings.of(first.block("duty").get()), charges);
        } else if (first.block("pools").isPresent()) {
            throw first.block("pools").get().bad("member", "beside a block `duty`: its holders decide");
        }
    }

    @Override
    public void fronts(List<Frontend.Maker> fronts) {
        first.block("edge")
                .map(EventStreamConfig::of)
                .ifPresent(edge -> fronts.add(base -> new EventStreamFrontend(base, edge)));
    }

    @Override
    public UsageRecorder books() {
        return ledger == null ? UsageRecorder.NONE : ledger.books();
    }

    @Override
    public RequestListener witness() {
        return pools == null ? RequestListener.NONE : pools;
    }

    @Override
    public Runnable reread() {
        Settings next = SettingsCommand.whole(Settings.read(Path.of(file)));
        Runnable pooled = pools == null
                ? () -> {}
                : next.block("pools").map(pools::prepareReload).orElse(() -> {});
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
