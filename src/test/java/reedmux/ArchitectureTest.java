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

/** Which package may use which, and that the packages that decide do no I/O. */
public class ArchitectureTest {
    /** Everything in these is a function of events and of the time that the caller passes in. */
    private static final String[] DECIDING_PACKAGES = {
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

    /** Addresses and their parts are values; to make one from numbers asks no name server. */
    private static final Set<String> ADDRESS_VALUES =
            Set.of("java.net.InetAddress", "java.net.InetSocketAddress", "java.net.SocketAddress");

    /** Simulated days run in virtual time, so the real clock would make them differ from run to run. */
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
    public Object[][] forbiddenArrows() {
        return new Object[][] {
            {"reedmux.common..", "reedmux.[cli|control|gatekeeper|proxy|simulation].."},
            {"reedmux.control..", "reedmux.[cli|gatekeeper|proxy|simulation].."},
            {"reedmux.proxy..", "reedmux.[cli|gatekeeper|simulation].."},
            {"reedmux.gatekeeper..", "reedmux.[cli|control|proxy|simulation].."},
            {"reedmux.simulation..", "reedmux.cli.."},
        };
    }

    @Test(dataProvider = "forbiddenArrows")
    public void programsUseOnlyWhatIsBelowThem(String from, String to) {
        noClasses()
                .that()
                .resideInAPackage(from)
                .should()
                .dependOnClassesThat()
                .resideInAPackage(to)
                .check(classes);
    }

    @DataProvider
    public Object[][] decidingPackages() {
        Object[][] all = new Object[DECIDING_PACKAGES.length][];
        for (int i = 0; i < all.length; i++) {
            all[i] = new Object[] {DECIDING_PACKAGES[i]};
        }
        return all;
    }

    /** Also fails when a package has no class, as after a rename that forgot this list. */
    @Test(dataProvider = "decidingPackages")
    public void decidingPackagesDoNoIo(String deciding) {
        noClasses()
                .that()
                .resideInAPackage(deciding)
                .should()
                .dependOnClassesThat(DOES_IO)
                .check(classes);
        readsNoClock(resideInAnyPackage(deciding)).check(classes);
    }

    /** One class measures what the programs that it runs cost, to charge it to the virtual clock. */
    @Test
    public void simulationsReadNoClock() {
        readsNoClock(resideInAnyPackage(VIRTUAL_TIME_PACKAGES).and(not(simpleName("SimulatedProcess"))))
                .check(classes);
    }

    private static ArchRule readsNoClock(DescribedPredicate<JavaClass> readers) {
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
