package org.limpetdoor.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.fields;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption.DoNotIncludeTests;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Guards against decisions that depend on clocks, randomness, threads, I/O or mutable state. */
@AnalyzeClasses(packages = "org.limpetdoor.core", importOptions = DoNotIncludeTests.class)
class ArchitectureTest {
  @ArchTest
  static final ArchRule dependsOnJdkAndPersistentCollectionsOnly =
      classes()
          .should()
          .onlyDependOnClassesThat()
          .resideInAnyPackage("java..", "org.pcollections..", "org.limpetdoor.core..");

  @ArchTest
  static final ArchRule hasNoThreadsOrInputOutput =
      noClasses()
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "java.io..", "java.nio..", "java.net..", "java.time..", "java.util.concurrent..")
          .orShould()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.lang.Thread");

  @ArchTest
  static final ArchRule hasNoRandomness =
      noClasses()
          .should()
          .dependOnClassesThat()
          .haveNameMatching(
              "java\\.util\\.(Random|SplittableRandom|UUID|random\\..*)|java\\.security\\..*");

  @ArchTest
  static final ArchRule hasNoClock =
      noClasses()
          .should()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(Math.class, "random");

  @ArchTest static final ArchRule hasFinalFieldsOnly = fields().should().beFinal();

  @ArchTest
  static final ArchRule hasNoMutableCollectionsInState =
      fields()
          .should()
          .notHaveRawType("java.util.HashMap")
          .andShould()
          .notHaveRawType("java.util.ArrayList")
          .andShould()
          .notHaveRawType("java.util.TreeMap");
}
