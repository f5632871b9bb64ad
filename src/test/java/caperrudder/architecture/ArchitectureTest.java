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

/** Checks the rules of docs/ARCHITECTURE.md on package dependencies and on what the decision logic may use. */
class ArchitectureTest {
    private static final String ROOT = "caperrudder";

    /** The packages below the root from the lowest layer to the highest. A package may depend on those before it. */
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

    private static final String[] DECISION_LOGIC_PACKAGES = {
        "caperrudder.api..", "caperrudder.settings..", "caperrudder.policy.."
    };

    private static JavaClasses program;

    @BeforeAll
    static void importProgram() {
        program = new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages(ROOT);
    }

    @Test
    void everyPackageHasALayer() {
        classes().should(beInALayer()).check(program);
    }

    @Test
    void packagesDependOnlyOnLowerLayers() {
        classes().should(dependOnlyOnLowerLayers()).check(program);
    }

    @Test
    void decisionLogicUsesNoSocketsFilesOrThreads() {
        ArchRule rule = noClasses()
                .that()
                .resideInAnyPackage(DECISION_LOGIC_PACKAGES)
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
    void decisionLogicReadsNoClock() {
        ArchRule rule = noClasses()
                .that()
                .resideInAnyPackage(DECISION_LOGIC_PACKAGES)
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
    void decisionLogicUsesOnlySeededRandomNumbers() {
        ArchRule rule = noClasses()
                .that()
                .resideInAnyPackage(DECISION_LOGIC_PACKAGES)
                .should()
                .callConstructor(Random.class)
                .orShould()
                .callMethod(Math.class, "random")
                .orShould()
                .callMethod(UUID.class, "randomUUID");
        rule.check(program);
    }

    @Test
    void nonPrivateFieldsAreFinal() {
        ArchRule rule = fields().that().areNotPrivate().should().beFinal();
        rule.check(program);
    }

    /** {@code HangupSignal} is compiled separately, without javac's warnings; {@code pom.xml} names its file. */
    @Test
    void onlyHangupSignalUsesInternalJdkClasses() {
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

    private static ArchCondition<JavaClass> dependOnlyOnLowerLayers() {
        return new ArchCondition<>("depend only on their own package and on lower layers") {
            @Override
            public void check(JavaClass origin, ConditionEvents events) {
                int layer = layerOf(origin);
                origin.getDirectDependenciesFromSelf().stream()
                        .filter(dependency ->
                                layerOf(dependency.getTargetClass().getBaseComponentType()) > layer)
                        .forEach(dependency ->
                                events.add(SimpleConditionEvent.violated(origin, dependency.getDescription())));
            }
        };
    }

    /**
     * Returns the index of a class's package in {@link #LAYERS}, or the size of the list for the root package, which is
     * the highest layer. Returns -1 for a package that has no layer and for the classes of libraries.
     */
    private static int layerOf(JavaClass type) {
        String packageName = type.getPackageName();
        if (packageName.equals(ROOT)) {
            return LAYERS.size();
        }
        return packageName.startsWith(ROOT + ".") ? LAYERS.indexOf(packageName.substring(ROOT.length() + 1)) : -1;
    }
}
