package reedmux;

import static com.tngtech.archunit.base.DescribedPredicate.describe;
import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.simpleName;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.time.Instant;
import java.util.Set;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the allowed dependencies between packages, and that packages of pure logic perform no I/O. */
public class ArchitectureTest {
    /** Packages whose code depends only on events and on the time passed in by the caller. */
    private static final String[] PURE_PACKAGES = {
        "reedmux.common.quota..",
        "reedmux.control.changes..",
        "reedmux.control.configuration..",
        "reedmux.control.consensus..",
        "reedmux.control.instances..",
        "reedmux.control.replication..",
        "reedmux.control.session..",
        "reedmux.gatekeeper.failover..",
        "reedmux.gatekeeper.policy..",
        "reedmux.gatekeeper.routing..",
        "reedmux.gatekeeper.script..",
        "reedmux.proxy.loadbalancer..",
        "reedmux.proxy.quota..",
        "reedmux.proxy.request..",
        "reedmux.proxy.retry..",
        "reedmux.simulation.invariants..",
    };

    /** Address types are plain values: creating one from a numeric address performs no DNS lookup. */
    private static final Set<String> ADDRESS_VALUES =
            Set.of("java.net.InetAddress", "java.net.InetSocketAddress", "java.net.SocketAddress");

    /** Simulations run in virtual time; reading the real clock would make their runs differ. */
    private static final String[] VIRTUAL_TIME_PACKAGES = {"reedmux.simulation.cluster..", "reedmux.simulation.region.."
    };

    private static final DescribedPredicate<JavaClass> DOES_IO = describe(
            "are sockets, channels, files, threads, executors, clocks or loggers",
            type -> type.getName().matches("java\\.net\\..*") && !ADDRESS_VALUES.contains(type.getName())
                    || type.getName().matches("java\\.nio\\.(channels|file)\\..*")
                    || type.getName().matches("java\\.io\\.(File|RandomAccessFile)\\w*")
                    || type.getName().matches("java\\.(util\\.)?logging\\..*")
                    || type.getName().matches("java\\.util\\.concurrent\\.\\w*(Execut|Thread|Future|Queue|Latch)\\w*")
                    || type.getName().matches("java\\.util\\.concurrent\\.locks\\..*")
                    || type.getName().matches("java\\.lang\\.(Thread|Process|ProcessBuilder|Runtime)")
                    || type.getName().equals("java.time.Clock")
                    || type.getName().startsWith("reedmux.common.eventloop.")
                    || type.getName().startsWith("reedmux.common.disk.")
                    || type.getName().startsWith("reedmux.common.logging."));

    private JavaClasses classes;

    @BeforeClass
    public void importClasses() {
        classes = new ClassFileImporter()
                .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                .importPackages("reedmux");
    }

    @Test
    public void everyPackageBelongsToAProgram() {
        classes()
                .that()
                .resideInAPackage("reedmux..")
                .should()
                .resideInAnyPackage(
                        "reedmux.cli..",
                        "reedmux.common..",
                        "reedmux.control..",
                        "reedmux.gatekeeper..",
                        "reedmux.proxy..",
                        "reedmux.simulation..")
                .check(classes);
    }

    @Test
    public void programsAreFreeOfCycles() {
        slices().matching("reedmux.(*)..").should().beFreeOfCycles().check(classes);
    }

    @DataProvider
    public Object[][] forbiddenDependencies() {
        return new Object[][] {
            {"reedmux.common..", "reedmux.[cli|control|gatekeeper|proxy|simulation].."},
            {"reedmux.control..", "reedmux.[cli|gatekeeper|proxy|simulation].."},
            {"reedmux.proxy..", "reedmux.[cli|gatekeeper|simulation].."},
            {"reedmux.gatekeeper..", "reedmux.[cli|control|proxy|simulation].."},
            {"reedmux.simulation..", "reedmux.cli.."},
        };
    }

    @Test(dataProvider = "forbiddenDependencies")
    public void programsDependOnlyOnLowerLayers(String from, String to) {
        noClasses()
                .that()
                .resideInAPackage(from)
                .should()
                .dependOnClassesThat()
                .resideInAPackage(to)
                .check(classes);
    }

    @DataProvider
    public Object[][] purePackages() {
        Object[][] rows = new Object[PURE_PACKAGES.length][];
        for (int i = 0; i < rows.length; i++) {
            rows[i] = new Object[] {PURE_PACKAGES[i]};
        }
        return rows;
    }

    /** Also fails if a package contains no classes, for example after a rename that missed this list. */
    @Test(dataProvider = "purePackages")
    public void purePackagesDoNoIo(String purePackage) {
        noClasses()
                .that()
                .resideInAPackage(purePackage)
                .should()
                .dependOnClassesThat(DOES_IO)
                .check(classes);
        doNotReadClock(resideInAnyPackage(purePackage)).check(classes);
    }

    /** SimulatedProcess is exempt: it measures the cost of the programs it runs to charge it to the virtual clock. */
    @Test
    public void simulationsReadNoClock() {
        doNotReadClock(resideInAnyPackage(VIRTUAL_TIME_PACKAGES).and(not(simpleName("SimulatedProcess"))))
                .check(classes);
    }

    private static ArchRule doNotReadClock(DescribedPredicate<JavaClass> readers) {
        return noClasses()
                .that(readers)
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(Instant.class, "now");
    }
}
