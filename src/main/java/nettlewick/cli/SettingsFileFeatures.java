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
import nettlewick.net.client.Frontend;
import nettlewick.net.config.PlatformConfig;
import nettlewick.settings.InvalidSettingsException;
import nettlewick.settings.Settings;
import nettlewick.sse.EventStreamConfig;
import nettlewick.sse.EventStreamFrontend;
import nettlewick.tenantpools.TenantPoolsService;

/** The features that the file of {@code serve --settings} turns on: ledger, leases, tenant pools, event streams. */
final class SettingsFileFeatures implements OptionalFeatures {
    private static final ComponentLogger LOG = ComponentLogger.of("node");

    private final String file;
    private final Settings initial;
    private LedgerService ledger;
    private LeaseService leaseService;
    private TenantPoolsService tenantPools;

    SettingsFileFeatures(String file) {
        this.file = file;
        initial = SettingsCommand.read(file);
        LogSetup.apply(initial.block("log"));
    }

    @Override
    public void start(PlatformConfig config, Clock clock) throws IOException {
        LedgerSettings settings =
                initial.block("ledger").map(LedgerSettings::of).orElse(null);
        if (settings != null) {
            ledger = new LedgerService(config.name(), settings, clock, config.seed());
            ledger.start();
        }
        try {
            startLeases(config, clock);
        } catch (InvalidSettingsException e) {
            throw new UsageException(Main.USAGE_ERROR, e.getMessage());
        }
    }

    private void startLeases(PlatformConfig config, Clock clock) throws IOException {
        if (initial.block("duty").isPresent()) {
            Map<String, LeaseTask> leaseTasks = Map.of();
            if (initial.block("pools").isPresent()) {
                tenantPools =
                        new TenantPoolsService(initial.block("pools").get(), config.settings(), clock, config.seed());
                leaseTasks = tenantPools.leaseTasks();
            }
            leaseService =
                    LeaseService.start(LeaseSettings.of(initial.block("duty").get()), leaseTasks);
        } else if (initial.block("pools").isPresent()) {
            throw initial.block("pools").get().invalidValue("member", "beside a block `duty`: its holders decide");
        }
    }

    @Override
    public void addFrontends(List<Frontend.Factory> frontends) {
        initial.block("edge")
                .map(EventStreamConfig::of)
                .ifPresent(edge -> frontends.add(base -> new EventStreamFrontend(base, edge)));
    }

    @Override
    public UsageRecorder usageRecorder() {
        return ledger == null ? UsageRecorder.NONE : ledger.ledger();
    }

    @Override
    public RequestListener requestListener() {
        return tenantPools == null ? RequestListener.NONE : tenantPools;
    }

    @Override
    public Runnable prepareReload() {
        Settings next = SettingsCommand.requireValid(Settings.read(Path.of(file)));
        Runnable applyPools = tenantPools == null
                ? () -> {}
                : next.block("pools").map(tenantPools::prepareReload).orElse(() -> {});
        return () -> {
            LogSetup.apply(next.block("log"));
            if (ledger != null) {
                next.block("ledger").map(LedgerSettings::of).ifPresent(ledger::reload);
            }
            applyPools.run();
            List<String> unchanged = initial.keywordsRequiringRestart(next);
            LOG.info(
                    "settings-reread",
                    "settings reread" + (unchanged.isEmpty() ? "" : "; only a restart changes " + unchanged));
        };
    }

    @Override
    public void close() {
        if (leaseService != null) {
            leaseService.close();
        }
        if (tenantPools != null) {
            tenantPools.close();
        }
        if (ledger != null) {
            ledger.close();
        }
    }
}
