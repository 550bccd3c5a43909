package nettlewick;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Clock;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Dependency rules between packages; the decision module must not use I/O, clocks or unseeded randomness. */
@AnalyzeClasses(packages = "nettlewick", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    private static final String DECISION = "nettlewick.decision..";
    private static final Path DECISION_SOURCES = Path.of("src/main/java/nettlewick/decision");

    /** Files of the decision module that hold messages, records or collections and make no decisions. */
    private static final Set<String> FILES_WITHOUT_POLICY = Set.of(
            "Action.java",
            "ActionBatch.java",
            "AggregationMessage.java",
            "Attempt.java",
            "AttemptResult.java",
            "Dispatcher.java",
            "Endpoint.java",
            "EndpointEntry.java",
            "EndpointKindStats.java",
            "EndpointLoad.java",
            "EndpointPool.java",
            "EndpointSelection.java",
            "EndpointState.java",
            "Event.java",
            "HashRing.java",
            "InFlightAttempts.java",
            "LargestRequest.java",
            "LoadGossipMessage.java",
            "PeerFaultCounters.java",
            "PeerMessage.java",
            "PeerMessageRouter.java",
            "PeerState.java",
            "PoolAssignment.java",
            "RequestStatistics.java",
            "RequestTable.java",
            "RunningMean.java",
            "ScheduledRequest.java",
            "SchedulerClock.java",
            "SchedulerContext.java",
            "SchedulerSettings.java",
            "SchedulerTimings.java",
            "SliceMessenger.java",
            "SlowStartCredit.java");

    @ArchTest
    static final ArchRule DECISION_DEPENDS_ONLY_ON_THE_JDK = classes()
            .that()
            .resideInAPackage(DECISION)
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(
                    DECISION,
                    "java.lang..",
                    "java.util",
                    "java.util.function",
                    "java.util.stream",
                    "java.nio",
                    "java.nio.charset");

    @ArchTest
    static final ArchRule DECISION_DOES_NO_IO = noClasses()
            .that()
            .resideInAPackage(DECISION)
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "java.io..", "java.net..", "java.nio.file..", "java.nio.channels..", "java.util.logging..");

    @ArchTest
    static final ArchRule DECISION_READS_NO_CLOCK = noClasses()
            .that()
            .resideInAPackage(DECISION)
            .should()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .dependOnClassesThat()
            .belongToAnyOf(Clock.class, Instant.class);

    @ArchTest
    static final ArchRule DECISION_USES_ONLY_SEEDED_RANDOM_NUMBERS = noClasses()
            .that()
            .resideInAPackage(DECISION)
            .should()
            .callMethod(Math.class, "random")
            .orShould()
            .dependOnClassesThat()
            .belongToAnyOf(Random.class, SecureRandom.class, ThreadLocalRandom.class)
            .orShould()
            .callConstructor(SplittableRandom.class);

    @ArchTest
    static final ArchRule DEPENDENCIES_FOLLOW_THE_LAYERS = layeredArchitecture()
            .consideringOnlyDependenciesInLayers()
            .layer("cli")
            .definedBy("nettlewick.cli..")
            .layer("frontends")
            .definedBy("nettlewick.admin..", "nettlewick.sse..", "nettlewick.pcap..")
            .layer("net")
            .definedBy("nettlewick.net..")
            .layer("core")
            .definedBy("nettlewick.core..")
            .layer("decision")
            .definedBy(DECISION)
            .whereLayer("cli")
            .mayNotBeAccessedByAnyLayer()
            .whereLayer("frontends")
            .mayOnlyBeAccessedByLayers("cli")
            .whereLayer("net")
            .mayOnlyBeAccessedByLayers("cli", "frontends")
            .whereLayer("core")
            .mayOnlyBeAccessedByLayers("cli", "frontends", "net")
            .whereLayer("decision")
            .mayOnlyBeAccessedByLayers("cli", "frontends", "net", "core");

    /** Each file of the decision module is either listed under {@code policy} in balancer.toml or listed above. */
    @Test
    void everyPolicyFileIsListedInTheSettings() throws IOException {
        Matcher policy =
                Pattern.compile("(?m)^policy = \\[(.*)]$").matcher(Files.readString(Path.of("deploy/balancer.toml")));
        assertTrue(policy.find());
        Set<String> listed =
                new TreeSet<>(List.of(policy.group(1).replace("\"", "").split(", *")));
        Set<String> policyFiles;
        try (Stream<Path> files = Files.list(DECISION_SOURCES)) {
            policyFiles = files.filter(file ->
                            !FILES_WITHOUT_POLICY.contains(file.getFileName().toString()))
                    .filter(file -> !file.endsWith("package-info.java"))
                    .map(Path::toString)
                    .collect(Collectors.toCollection(TreeSet::new));
        }
        assertEquals(policyFiles, listed);
    }
}
