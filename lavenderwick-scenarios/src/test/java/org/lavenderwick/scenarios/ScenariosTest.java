package org.lavenderwick.scenarios;

import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/** Runs all features. */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("features")
class ScenariosTest {}
