package org.limpetdoor.scenario;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs all feature files; each scenario names the failure that it guards against. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("features")
@ConfigurationParameter(key = "cucumber.glue", value = "org.limpetdoor.scenario.steps")
@ConfigurationParameter(key = "cucumber.publish.quiet", value = "true")
final class ScenariosTest {}
