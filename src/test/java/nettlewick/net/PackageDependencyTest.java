package nettlewick.net;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** The packages of net have no cycles, and none of them depends on the server that assembles them. */
@AnalyzeClasses(packages = "nettlewick.net", importOptions = ImportOption.DoNotIncludeTests.class)
class PackageDependencyTest {
    @ArchTest
    static final ArchRule SUBPACKAGES_HAVE_NO_CYCLES =
            slices().matching("nettlewick.net.(*)..").should().beFreeOfCycles();

    @ArchTest
    static final ArchRule SUBPACKAGES_DO_NOT_DEPEND_ON_THE_SERVER = noClasses()
            .that()
            .resideInAPackage("nettlewick.net.*..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("nettlewick.net");
}
