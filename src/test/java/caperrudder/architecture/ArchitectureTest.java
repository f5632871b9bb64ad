package caperrudder.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.fields;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchCondition;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.ConditionEvents;
import com.tngtech.archunit.lang.SimpleConditionEvent;
import java.util.Calendar;
import java.util.Date;
import java.util.List;
import java.util.Random;
import java.util.Timer;
import java.util.UUID;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Holds the rules of docs/ARCHITECTURE.md: which package may use which, and what the decision logic may not touch. */
class ArchitectureTest {
    private static final String ROOT = "caperrudder";

    /** All packages below the root, lowest first: each may use those before it. */
    private static final List<String> LAYERS = List.of(
            "api",
            "settings",
            "policy.loadbalancing",
            "policy.scheduling",
            "policy.quota",
            "policy.gossip",
            "policy.retry",
            "policy",
            "server.runtime",
            "server.http",
            "server.config",
            "server.discovery",
            "server.upstream",
            "server.downstream",
            "server.handover",
            "server.admin",
            "server",
            "simulator",
            "scale");

    private static final String[] DECISION_LOGIC = {
        "caperrudder.api..", "caperrudder.settings..", "caperrudder.policy.."
    };

    private static JavaClasses program;

    @BeforeAll
    static void readTheProgram() {
        program = new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages(ROOT);
    }

    @Test
    void everyPackageHasItsLayer() {
        classes().should(beInALayer()).check(program);
    }

    @Test
    void packagesUseOnlyThoseBelowThem() {
        classes().should(useOnlyLowerLayers()).check(program);
    }

    @Test
    void decisionsUseNoSocketsFilesOrThreads() {
        ArchRule rule = noClasses()
                .that()
                .resideInAnyPackage(DECISION_LOGIC)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.net..",
                        "java.nio.channels..",
                        "java.nio.file..",
                        "java.util.concurrent..",
                        "io.netty..")
                .orShould()
                .dependOnClassesThat()
                .belongToAnyOf(Thread.class, ThreadLocal.class, Timer.class, Process.class);
        rule.check(program);
    }

    @Test
    void decisionsTakeTimeFromTheirEventsAlone() {
        ArchRule rule = noClasses()
                .that()
                .resideInAnyPackage(DECISION_LOGIC)
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .dependOnClassesThat()
                .resideInAnyPackage("java.time..")
                .orShould()
                .dependOnClassesThat()
                .belongToAnyOf(Date.class, Calendar.class);
        rule.check(program);
    }

    @Test
    void decisionsDrawFromTheSeedAlone() {
        ArchRule rule = noClasses()
                .that()
                .resideInAnyPackage(DECISION_LOGIC)
                .should()
                .callConstructor(Random.class)
                .orShould()
                .callMethod(Math.class, "random")
                .orShould()
                .callMethod(UUID.class, "randomUUID");
        rule.check(program);
    }

    @Test
    void fieldsThatOthersSeeDoNotChange() {
        ArchRule rule = fields().that().areNotPrivate().should().beFinal();
        rule.check(program);
    }

    /** That class is compiled apart, without javac's warnings: the build has it by its name. */
    @Test
    void oneClassAloneUsesWhatTheJdkDoesNotPromise() {
        ArchRule rule = noClasses()
                .that()
                .doNotHaveFullyQualifiedName("caperrudder.server.runtime.HangupSignal")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("sun..", "jdk.internal..");
        rule.check(program);
    }

    private static ArchCondition<JavaClass> beInALayer() {
        return new ArchCondition<>("be in a package that has a layer") {
            @Override
            public void check(JavaClass type, ConditionEvents events) {
                if (layerOf(type) < 0) {
                    events.add(
                            SimpleConditionEvent.violated(type, type.getName() + " is in a package without a layer"));
                }
            }
        };
    }

    private static ArchCondition<JavaClass> useOnlyLowerLayers() {
        return new ArchCondition<>("use only their own package and those below it") {
            @Override
            public void check(JavaClass origin, ConditionEvents events) {
                int layer = layerOf(origin);
                origin.getDirectDependenciesFromSelf().stream()
                        .filter(use -> layerOf(use.getTargetClass().getBaseComponentType()) > layer)
                        .forEach(use -> events.add(SimpleConditionEvent.violated(origin, use.getDescription())));
            }
        };
    }

    /** The place of a class's package in {@link #LAYERS}, that of the root above all; -1 for all that is not ours. */
    private static int layerOf(JavaClass type) {
        String packageName = type.getPackageName();
        if (packageName.equals(ROOT)) {
            return LAYERS.size();
        }
        return packageName.startsWith(ROOT + ".") ? LAYERS.indexOf(packageName.substring(ROOT.length() + 1)) : -1;
    }
}
