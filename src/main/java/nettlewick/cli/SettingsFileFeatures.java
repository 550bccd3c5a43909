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

/** The features that the settings file of {@code serve} enables: ledger, leases, tenant pools and event streams. */
final class SettingsFileFeatures implements OptionalFeatures {
    private static final ComponentLogger LOG = ComponentLogger.of("node");

    private final String file;
    private final Settings initialSettings;
    private LedgerService ledger;
    private LeaseService leaseService;
    private TenantPoolsService tenantPools;

    SettingsFileFeatures(String file) {
        this.file = file;
        initialSettings = SettingsCommand.read(file);
        LogSetup.apply(initialSettings.block("log"));
    }

    @Override
    public void start(PlatformConfig config, Clock clock) throws IOException {
        LedgerSettings settings =
                initialSettings.block("ledger").map(LedgerSettings::of).orElse(null);
        if (settings != null) {
            ledger = new LedgerService(config.name(), settings, clock, config.seed());
            ledger.start();
        }
        try {
            startLeases(config, clock);
        } catch (InvalidSettingsException e) {
            throw new CommandException(Main.EXIT_USAGE_ERROR, e.getMessage());
        }
    }

    private void startLeases(PlatformConfig config, Clock clock) throws IOException {
        if (initialSettings.block("duty").isPresent()) {
            Map<String, LeaseTask> leaseTasks = Map.of();
            if (initialSettings.block("pools").isPresent()) {
                tenantPools = new TenantPoolsService(
                        initialSettings.block("pools").get(), config.settings(), clock, config.seed());
                leaseTasks = tenantPools.leaseTasks();
            }
            leaseService = LeaseService.start(
                    LeaseSettings.of(initialSettings.block("duty").get()), leaseTasks);
        } else if (initialSettings.block("pools").isPresent()) {
            throw initialSettings
                    .block("pools")
                    .get()
                    .invalidValue("member", "used together with a block `duty`, whose lease holders control the pools");
        }
    }

    @Override
    public void addFrontends(List<Frontend.Factory> frontends) {
        initialSettings
                .block("edge")
                .map(EventStreamConfig::of)
                .ifPresent(config -> frontends.add(base -> new EventStreamFrontend(base, config)));
    }

    @Override
    public UsageRecorder usageRecorder() {
        return ledger == null ? UsageRecorder.NONE : ledger.recorder();
    }

    @Override
    public RequestListener requestListener() {
        return tenantPools == null ? RequestListener.NONE : tenantPools;
    }

    @Override
    public Runnable prepareReload() {
        Settings newSettings = SettingsCommand.requireValid(Settings.read(Path.of(file)));
        Runnable applyPools = tenantPools == null
                ? () -> {}
                : newSettings.block("pools").map(tenantPools::prepareReload).orElse(() -> {});
        return () -> {
            LogSetup.apply(newSettings.block("log"));
            if (ledger != null) {
                newSettings.block("ledger").map(LedgerSettings::of).ifPresent(ledger::reload);
            }
            applyPools.run();
            List<String> needRestart = initialSettings.keywordsRequiringRestart(newSettings);
            LOG.info(
                    "settings-reread",
                    "settings reloaded"
                            + (needRestart.isEmpty() ? "" : "; changes that need a restart: " + needRestart));
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
